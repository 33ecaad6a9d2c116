import type { Result } from 'neverthrow';

/** Returns the value of a result; throws its error, which fails the test. */
export const unwrapResult = <T, E extends Error>(result: Result<T, E>): T => {
  if (result.isErr()) throw result.error;
  return result.value;
};

/** Returns the error of a result; throws when there is none. */
export const unwrapError = <T, E extends Error>(result: Result<T, E>): E => {
  if (result.isOk()) throw new Error('expected an error, got a success');
  return result.error;
};
