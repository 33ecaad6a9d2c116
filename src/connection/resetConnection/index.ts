/** Resets of connections, also of those with TLS. */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import type { TLSSocket } from 'node:tls';

/** Connections below TLS, by the sockets of TLS on them. */
const transports = new WeakMap<Socket, Socket>();

const formatPeer = ({ remoteAddress, remotePort }: Socket): string =>
  `${remoteAddress}:${remotePort}`;

/**
 * Keeps the connections of a TLS server, so that they can be reset. Node.js does not reset a connection
 * through its TLS socket.
 *
 * @param server - server that does not listen yet
 */
export const keepTransports = (server: Server): void => {
  const byPeer = new Map<string, Socket>();
  server.on('connection', (transport: Socket) => {
    const peer = formatPeer(transport);
    byPeer.set(peer, transport);
    transport.once('close', () => {
      if (byPeer.get(peer) === transport) byPeer.delete(peer);
    });
  });
  server.on('secureConnection', (socket: TLSSocket) => {
    const transport = byPeer.get(formatPeer(socket));
    if (transport) transports.set(socket, transport);
  });
};

/**
 * Resets a connection, so that its peer does not take its end for the end of a response. What waits to be
 * sent is dropped.
 *
 * @param socket - connection of a plain server, or of a TLS server given to `keepTransports`
 */
export const resetConnection = (socket: Socket): void => {
  const transport = transports.get(socket);
  if (transport === undefined) {
    socket.resetAndDestroy();
    return;
  }
  transport.once('close', () => socket.destroy());
  transport.resetAndDestroy();
};
