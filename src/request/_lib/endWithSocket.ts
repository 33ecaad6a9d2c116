import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Pending responses of each connection; a pipelined response waits for those before it. */
const dueBySocket = new WeakMap<Socket, Set<ServerResponse>>();

/**
 * Emits `close` on a response when its connection closes. Node.js emits it only on the response at the
 * head of the pipeline, so the requests of those queued behind it would keep running.
 *
 * @param socket - connection of the caller
 * @param response - response pending on the connection
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
