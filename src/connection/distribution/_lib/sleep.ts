/**
 * Waits, or returns early when the signal is aborted.
 *
 * @param delayMs - time to wait in milliseconds
 * @param signal - ends the wait early
 */
const sleep = (delayMs: number, signal: AbortSignal): Promise<void> =>
  new Promise((resolve) => {
    if (signal.aborted) {
      resolve();
      return;
    }
    const finish = (timer: NodeJS.Timeout | undefined, listener: () => void): void => {
      clearTimeout(timer);
      signal.removeEventListener('abort', listener);
      resolve();
    };
    let timer: NodeJS.Timeout | undefined;
    const listener = (): void => finish(timer, listener);
    timer = setTimeout(listener, delayMs);
    signal.addEventListener('abort', listener);
  });

export default sleep;
