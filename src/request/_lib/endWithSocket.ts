import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Pending responses of each connection; a pipelined response waits for those before it. */
const pendingBySocket = new WeakMap<Socket, Set<ServerResponse>>();

/**
 * Emits `close` on a response when its connection closes. Node.js emits it only on the response at the
 * head of the pipeline, so the requests of those queued behind it would keep running.
 *
 * @param socket - connection of the caller
 * @param response - response pending on the connection
 */
const endWithSocket = (socket: Socket, response: ServerResponse): void => {
  const existing = pendingBySocket.get(socket);
  const pending = existing ?? new Set();
  pending.add(response);
  response.once('close', () => pending.delete(response));
  if (existing) return;
  pendingBySocket.set(socket, pending);
  socket.once('close', () => {
    const queued = [...pending].filter((other) => other.socket === null);
    queued.forEach((other) => other.emit('close'));
  });
};

export default endWithSocket;
