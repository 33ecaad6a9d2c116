/**
 * Waits, or returns early when the signal is aborted.
 *
 * @param delayMs - time to wait
 * @param signal - ends the wait
 */
const sleep = (delayMs: number, signal: AbortSignal): Promise<void> =>
  new Promise((resolve) => {
    if (signal.aborted) {
      resolve();
      return;
    }
    const finish = (): void => {
      signal.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, delayMs);
    signal.addEventListener('abort', () => {
      clearTimeout(timer);
      finish();
    });
  });

export default sleep;
