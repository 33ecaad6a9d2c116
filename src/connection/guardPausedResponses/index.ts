/** Keeps undici's parser from an assertion that ends the process, where a connection ends while it is paused. */
import type { Socket } from 'node:net';
import type { buildConnector } from 'undici';

const RESET_CODE = 'ECONNRESET';
/** Code of undici's own errors for connections that were lost. */
const LOST_CODE = 'UND_ERR_SOCKET';

/**
 * undici takes the end or the reset of a connection that is not kept for the end of its response, and
 * finishes its parser in the event listener. The parser asserts that it is not paused, and the exception
 * of a listener is caught by nobody.
 *
 * - An orderly end is reported once the parser has read all and is not paused. A stream schedules `end`
 *   as soon as it is asked for 0 bytes, or for all that it has, after the end has arrived.
 * - A reset gets the code of a lost connection, which undici does not take for an end.
 */
const guardSocket = (socket: Socket): void => {
  let isPaused = false;
  let hasEnd = false;
  const unshift = socket.unshift.bind(socket);
  const push = socket.push.bind(socket);
  const read = socket.read.bind(socket) as (sizeBytes?: number) => unknown;
  /** Reads after the end has arrived; a stream that is asked for exactly what it has does not end yet. */
  const readLast = (sizeBytes: number | undefined): unknown => {
    const { readableLength, readableHighWaterMark } = socket;
    const wasPaused = isPaused;
    if (sizeBytes !== 0) isPaused = false;
    // A parser that was resumed handles what it kept, and reads again unless that pauses it.
    if (readableLength === 0) return wasPaused ? null : read(sizeBytes);
    // A larger size would raise the limit on the buffer of the stream.
    return read(sizeBytes ?? Math.min(readableLength, readableHighWaterMark));
  };
  Object.assign(socket, {
    // A parser that pauses returns what it has not parsed, and reads again only after it is resumed.
    unshift: (...parameters: Parameters<Socket['unshift']>): void => {
      isPaused = true;
      unshift(...parameters);
    },
    push: (...parameters: Parameters<Socket['push']>): boolean => {
      hasEnd ||= parameters[0] === null;
      return push(...parameters);
    },
    read: (sizeBytes?: number): unknown => {
      if (hasEnd) return readLast(sizeBytes);
      if (sizeBytes !== 0) isPaused = false;
      return read(sizeBytes);
    },
  });
  socket.prependListener('error', (error: NodeJS.ErrnoException) => {
    if (isPaused && error.code === RESET_CODE) Object.assign(error, { code: LOST_CODE });
  });
};

/**
 * Creates a connector for clients whose handlers pause responses by returning false from `onData`.
 *
 * @param connect - opens the connections
 *
 * @example
 * const pool = new Pool(url, { connect: guardPausedResponses(buildConnector({ timeout: 1_000 })) });
 */
const guardPausedResponses =
  (connect: buildConnector.connector): buildConnector.connector =>
  (target, callback) => {
    connect(target, (...outcome) => {
      const [, socket] = outcome;
      if (socket) guardSocket(socket);
      callback(...outcome);
    });
  };

export default guardPausedResponses;
