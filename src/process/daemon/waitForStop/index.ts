/** A daemon that stops on a signal. */
export interface Stoppable {
  /** Finishes the work in flight, then stops; called on the first signal. */
  drain: () => Promise<void>;
}

const STOP_SIGNALS: NodeJS.Signals[] = ['SIGTERM', 'SIGINT'];

/**
 * Waits for SIGTERM or SIGINT and drains the daemon.
 *
 * The handlers are removed before draining, so that a second signal ends the process at once.
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
