import { createServer as createTcpServer } from 'node:net';

import tap from 'tap';

import type { Socket } from 'node:net';
import type { Test } from 'tap';
import { TestMesh, listenOnLoopback, send } from '../../../test/requestMesh/index.js';

const BODY = 'one bundle of osier';
const HEADS: Record<string, string> = {
  'with a length': `HTTP/1.1 200 OK\r\ncontent-length: ${BODY.length}\r\nx-stamp: s\r\n\r\n`,
  'without a length': 'HTTP/1.1 200 OK\r\nx-stamp: s\r\nconnection: close\r\n\r\n',
  'after early hints':
    'HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\nHTTP/1.1 200 OK\r\nx-stamp: s\r\n\r\n',
};

/** Ways in which a server ends its connection. */
const ENDINGS: Record<string, (socket: Socket) => void> = {
  'closes it': (socket) => socket.end(),
  'resets it': (socket) => socket.resetAndDestroy(),
};

/** Starts a server that answers `/whole`, and sends any other request only the given bytes. */
const startServer = async (t: Test, bytes: string, endConnection: (socket: Socket) => void) => {
  const server = createTcpServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      const isWhole = chunk.toString('latin1').includes('/whole');
      if (isWhole) socket.write(`${HEADS['with a length']}${BODY}`);
      else socket.write(bytes, () => endConnection(socket));
    });
  });
  t.teardown(() => server.close());
  return listenOnLoopback(server);
};

/** Sends a request whose answer ends early, on a connection that has served another one before. */
const sendCutShort = async (t: Test, bytes: string, endConnection: (socket: Socket) => void) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry');
  const owner = await mesh.startNode('owner');
  const address = await startServer(t, bytes, endConnection);
  const backend = await mesh.startBackend(owner, (_, response) => response.end());
  owner.localServers.withdraw(backend.serverId);
  mesh.announce(owner, backend.server, address);
  const whole = await send(entry.address, { path: '/whole' });
  const cut = await send(entry.address, { path: '/cut' }).catch(() => undefined);
  return { whole, cut };
};

// Guards against an answer that a server breaks off in its head and that reaches the caller as a whole
// answer with an empty or a short body.
Object.entries(HEADS).forEach(([framing, head]) =>
  Object.entries(ENDINGS).forEach(([ending, endConnection]) =>
    tap.test(`a head ${framing} is cut short as the server ${ending}`, async (t) => {
      const lengths = [
        1,
        12,
        17,
        25,
        40,
        49,
        62,
        head.length - 4,
        head.length - 2,
        head.length - 1,
      ].filter((length) => length < head.length);
      await Promise.all(
        lengths.map(async (length) => {
          const label = JSON.stringify(head.slice(0, length));
          const { whole, cut } = await sendCutShort(t, head.slice(0, length), endConnection);
          t.equal(whole.body, BODY, `before ${label}`);
          t.equal(cut?.status, 502, label);
          t.equal(cut?.headers['foxtailvane-outcome'], 'unknown', label);
        }),
      );
    }),
  ),
);
