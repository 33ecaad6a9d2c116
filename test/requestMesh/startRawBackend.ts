import { createServer } from 'node:net';

import type { Socket } from 'node:net';
import { listenOnLoopback } from './index.js';
import type { TestMesh, TestNode } from './index.js';

/**
 * Starts a backend server beside a node that writes the bytes of its answers itself.
 *
 * @param mesh - mesh of the node
 * @param node - node beside the server
 * @param write - answers the request with that Attempt-Id on its connection
 * @returns a function that stops the server
 */
const startRawBackend = async (
  mesh: TestMesh,
  node: TestNode,
  write: (attemptId: string, socket: Socket) => void,
): Promise<() => void> => {
  const listener = createServer((socket) => {
    // The node resets the connection when it discards an answer.
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      const attemptId = /attempt-id: (\S+)/i.exec(chunk.toString('latin1'))?.[1];
      if (attemptId !== undefined) write(attemptId, socket);
    });
  });
  const address = await listenOnLoopback(listener);
  const { server, serverId } = await mesh.startBackend(node, (_, response) => response.end());
  node.localServers.withdraw(serverId);
  mesh.announce(node, server, address);
  return () => listener.close();
};

export default startRawBackend;
