/**
 * Creates a function that computes its result once for consecutive calls with the same argument.
 *
 * @param compute - function of one object, which is compared by identity
 * @returns the function; it keeps the last argument and its result
 *
 * @example
 * const inflateOnce = memoizeLatest((document: Uint8Array) => inflate(document));
 */
const memoizeLatest = <Argument extends object, Result>(
  compute: (argument: Argument) => Result,
): ((argument: Argument) => Result) => {
  let latest: { argument: Argument; result: Result } | undefined;
  return (argument) => {
    if (latest?.argument !== argument) latest = { argument, result: compute(argument) };
    return latest.result;
  };
};

export default memoizeLatest;
