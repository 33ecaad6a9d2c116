/**
 * Returns a function that reads like the one given, at most once at a time. Calls during a read share
 * the next one, since what they ask for may be newer than the read in progress.
 *
 * @param read - reads the present state
 * @returns a function whose result was read after its call
 *
 * @example
 * const readTable = shareReads(() => readFile('/proc/net/tcp', 'latin1'));
 */
const shareReads = <Value>(read: () => Promise<Value>): (() => Promise<Value>) => {
  let lastRead: Promise<unknown> = Promise.resolve();
  let nextRead: Promise<Value> | undefined;
  const startRead = (): Promise<Value> => {
    nextRead = undefined;
    const started = read();
    // A failure is reported to those who share the read.
    lastRead = started.catch(() => undefined);
    return started;
  };
  return () => {
    nextRead ??= lastRead.then(startRead);
    return nextRead;
  };
};

export default shareReads;
