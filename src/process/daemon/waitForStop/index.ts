/** What a daemon does when it is told to stop. */
export interface Stoppable {
  /** Finishes what is in flight, then stops; on the first signal. */
  drain: () => Promise<void>;
}

const STOP_SIGNALS: NodeJS.Signals[] = ['SIGTERM', 'SIGINT'];

/**
 * Waits for SIGTERM or SIGINT and drains.
 *
 * The handlers are removed first, so a second signal ends the process at once, as by default.
 *
 * @param daemon - the running daemon
 * @returns when the daemon has stopped
 */
const waitForStop = async (daemon: Stoppable): Promise<void> => {
  await new Promise<void>((resolve) => {
    const stop = (): void => {
      STOP_SIGNALS.forEach((signal) => process.off(signal, stop));
      resolve();
    };
    STOP_SIGNALS.forEach((signal) => process.on(signal, stop));
  });
  await daemon.drain();
};

export default waitForStop;
