/** Answers of servers that send bytes without end. */
import { request as sendRequest } from 'node:http';
import { createServer as createTcpServer } from 'node:net';

import tap from 'tap';

import type { Socket } from 'node:net';
import type { Test } from 'tap';
import { TestMesh, listenOnLoopback } from '../../../test/requestMesh/index.js';

const DEADLINE_MS = 1_500;
/** Far below the memory of a node, for one such answer. */
const MAX_GROWTH_BYTES = 64 * 1_048_576;
const PART = Buffer.alloc(16_384, 'x');
const CHUNK = Buffer.concat([Buffer.from('4000\r\n'), PART, Buffer.from('\r\n')]);

/** How an answer begins, and what is sent after that until the connection is closed. */
const ENDLESS: Record<string, { start: string; part: Buffer }> = {
  'no answer at all': { start: '', part: PART },
  'a status line': { start: 'HTTP/1.1 200 ', part: PART },
  'a header': { start: 'HTTP/1.1 200 OK\r\nx-long: ', part: PART },
  headers: { start: 'HTTP/1.1 200 OK\r\n', part: Buffer.from('x-more: value\r\n'.repeat(1_000)) },
  'informational responses': {
    start: '',
    part: Buffer.from('HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(500)),
  },
  'a chunk extension': {
    start: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;x=',
    part: PART,
  },
  'a body in chunks': {
    start: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
    part: CHUNK,
  },
  'a body without a length': { start: 'HTTP/1.1 200 OK\r\n\r\n', part: PART },
  'more than its length': { start: 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok', part: PART },
  trailers: {
    start: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n',
    part: Buffer.from('x-more: value\r\n'.repeat(1_000)),
  },
};

/** Starts a server that answers each request with bytes until its connection is closed. */
const startEndless = async (t: Test, { start, part }: { start: string; part: Buffer }) => {
  const flood = (socket: Socket): void => {
    if (!socket.destroyed) socket.write(part, () => setImmediate(flood, socket));
  };
  const server = createTcpServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(start);
      flood(socket);
    });
  });
  t.teardown(() => server.close());
  return listenOnLoopback(server);
};

/** Sends a request and drops its answer, or leaves it unread; returns once the connection has closed. */
const call = (address: string, { isRead }: { isRead: boolean }): Promise<void> =>
  new Promise((resolve) => {
    const headers = { 'foxtailvane-deadline-ms': String(DEADLINE_MS) };
    const request = sendRequest(`http://${address}`, { agent: false, headers }, (response) => {
      // The node ends an answer that is not complete by a reset.
      response.on('error', () => undefined);
      if (isRead) response.resume();
    });
    request.on('error', () => undefined);
    request.on('close', resolve);
    request.end();
    // An unread connection does not notice its end.
    if (!isRead) setTimeout(() => request.destroy(), 2 * DEADLINE_MS);
  });

// Guards against a node that keeps bytes without end and runs out of memory (LOST of other callers), and
// against requests that last beyond their deadline.
Object.entries(ENDLESS).forEach(([name, endless]) =>
  tap.test(
    `an endless answer, ${name}, costs a node little memory, and ends in time`,
    async (t) => {
      const mesh = new TestMesh();
      t.teardown(() => mesh.stop());
      const entry = await mesh.startNode('entry');
      const owner = await mesh.startNode('owner');
      const address = await startEndless(t, endless);
      const backend = await mesh.startBackend(owner, (_, response) => response.end());
      owner.localServers.withdraw(backend.serverId);
      mesh.announce(owner, backend.server, address);
      const { rss, arrayBuffers } = process.memoryUsage();
      const startedAtMs = performance.now();
      await Promise.all([true, false].map((isRead) => call(entry.address, { isRead })));
      const elapsedMs = Math.round(performance.now() - startedAtMs);
      t.ok(elapsedMs < 4 * DEADLINE_MS, `ended after ${elapsedMs} ms`);
      const grown = process.memoryUsage();
      const growthBytes = Math.max(grown.arrayBuffers - arrayBuffers, 0);
      t.ok(growthBytes < MAX_GROWTH_BYTES, `${growthBytes} bytes, resident ${grown.rss - rss}`);
    },
  ),
);
