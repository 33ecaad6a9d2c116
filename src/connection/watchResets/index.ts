/** Connections that end by a reset, for responses whose end is the end of their connection. */
import { buildConnector } from 'undici';

let isResetting = false;

const noteReset = (): void => {
  isResetting = true;
  // Listeners of the same event run before the next microtask.
  queueMicrotask(() => {
    isResetting = false;
  });
};

/**
 * Tells whether the code runs because a connection was reset. undici reports a response without
 * length as complete even then.
 */
export const isWithinReset = (): boolean => isResetting;

/**
 * Creates a connector for a pool whose resets `isWithinReset` tells.
 *
 * @param options - as of `connect` in the options of a pool
 */
export const watchResets = (options: buildConnector.BuildOptions): buildConnector.connector => {
  const connect = buildConnector(options);
  return (target, callback) => {
    connect(target, (...outcome) => {
      // The listener has to come before the one of undici.
      outcome[1]?.prependListener('error', noteReset);
      callback(...outcome);
    });
  };
};
