import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Responses that are due on each connection; a pipelined one waits for those before it. */
const dueBySocket = new WeakMap<Socket, Set<ServerResponse>>();

/**
 * Has a response close when its connection does. Node.js tells only the response whose turn it is, so
 * one that waits behind another would never learn that its caller left.
 *
 * @param socket - connection of the caller
 * @param response - response that is due on it
 */
const endWithSocket = (socket: Socket, response: ServerResponse): void => {
  const known = dueBySocket.get(socket);
  const due = known ?? new Set();
  due.add(response);
  response.once('close', () => due.delete(response));
  if (known) return;
  dueBySocket.set(socket, due);
  socket.once('close', () => {
    const waiting = [...due].filter((one) => one.socket === null);
    waiting.forEach((one) => one.emit('close'));
  });
};

export default endWithSocket;
