/** Detects connection resets, for responses that end with their connection. */
import { buildConnector } from 'undici';

let isResetting = false;

const markReset = (): void => {
  isResetting = true;
  // All listeners of the event run before the next microtask.
  queueMicrotask(() => {
    isResetting = false;
  });
};

/**
 * Returns whether the current code runs because of a connection reset. undici then also reports a
 * response without a length as complete.
 */
export const isHandlingReset = (): boolean => isResetting;

/**
 * Creates a connector for a pool whose connection resets are detected by `isHandlingReset`.
 *
 * @param options - `connect` option of a pool
 */
export const watchResets = (options: buildConnector.BuildOptions): buildConnector.connector => {
  const connect = buildConnector(options);
  return (target, callback) => {
    connect(target, (...outcome) => {
      // The listener must run before the one of undici.
      outcome[1]?.prependListener('error', markReset);
      callback(...outcome);
    });
  };
};
