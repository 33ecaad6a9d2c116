/** Server that answers with bytes without end. */
import { createServer } from 'node:net';

import type { Socket } from 'node:net';
import type { Test } from 'tap';
import { listenOnLoopback } from '../requestMesh/index.js';

const PART = 'x'.repeat(16_384);

export interface FloodOptions {
  /** Bytes with which an answer begins. */
  start: string;
  /** Bytes that are sent again and again after that. */
  part?: string;
}

/**
 * Starts a server that answers the first request of each connection with bytes until the connection
 * closes. It is stopped at the end of the test.
 */
const startFloodingServer = async (t: Test, { start, part = PART }: FloodOptions) => {
  const sockets: Socket[] = [];
  const flood = (socket: Socket): void => {
    if (!socket.destroyed) socket.write(part, () => setImmediate(flood, socket));
  };
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(start);
      flood(socket);
    });
  });
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  const address = await listenOnLoopback(server);
  const sentBytes = (): number => sockets.reduce((sum, { bytesWritten }) => sum + bytesWritten, 0);
  return { address, sockets, sentBytes };
};

export default startFloodingServer;
