import type { Socket } from 'node:net';

/** Time within which a caller notices the end of the connection and closes its side. */
const LINGER_TIMEOUT_MS = 1_000;

/**
 * Closes a connection without a reset: sends what is left and its end, then reads on until the caller
 * has closed its side, or for a second.
 *
 * A connection that is closed with unread bytes is reset, and a caller that is still sending then
 * loses a response that it has not read yet.
 *
 * @param socket - connection whose received bytes are read and dropped
 */
const closeInOrder = (socket: Socket): void => {
  const timer = setTimeout(() => socket.destroy(), LINGER_TIMEOUT_MS);
  timer.unref();
  socket.once('close', () => clearTimeout(timer));
  socket.end();
};

export default closeInOrder;
