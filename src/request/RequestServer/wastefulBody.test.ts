/** Bodies in chunks of one byte that last longer than any useful one. */
import { createServer } from 'node:http';
import { connect } from 'node:net';

import tap from 'tap';

import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import type { Test } from 'tap';
import { TestMesh, listenOnLoopback } from '../../../test/requestMesh/index.js';

const SHORT_CHUNKS = '1\r\nx\r\n'.repeat(8_192);
const LIMIT_MS = 10_000;
const MAX_ANSWER_MS = 14_000;
const DRIP_MS = 12_000;
const DRIP_INTERVAL_MS = 20;

/** Returns the port of an entry node that forwards to a server beside another node. */
const startNodes = async (t: Test, server: Server, slots: number): Promise<number> => {
  const address = await listenOnLoopback(server);
  const mesh = new TestMesh();
  const entry = await mesh.startNode('entry');
  const owner = await mesh.startNode('owner');
  mesh.announce(owner, server, address, { slots });
  t.teardown(async () => {
    await mesh.stop();
    server.close();
  });
  return Number(entry.address.split(':')[1]);
};

interface Ended {
  answer: string;
  elapsedMs: number;
}

/** Sends the head of an upload and then its body; returns once the connection is closed. */
const sendUpload = (port: number, writeBody: (socket: Socket) => void): Promise<Ended> =>
  new Promise((resolve) => {
    const startedAtMs = performance.now();
    const socket = connect(port, '127.0.0.1');
    let answer = '';
    socket.on('error', () => undefined);
    socket.on('data', (part: Buffer) => {
      answer += part.toString();
    });
    socket.once('close', () => resolve({ answer, elapsedMs: performance.now() - startedAtMs }));
    socket.write('POST /uploads HTTP/1.1\r\nhost: any\r\ntransfer-encoding: chunked\r\n\r\n');
    writeBody(socket);
  });

const flood = (socket: Socket): void => {
  if (!socket.destroyed) socket.write(SHORT_CHUNKS, () => flood(socket));
};

// Guards against a caller that keeps a node busy until the deadline of its request, if it has any, and
// against a refusal as not run of a request that may have run.
tap.test('a body in chunks of one byte without end is ended as unknown', async (t) => {
  const server = createServer((request) => request.resume());
  const port = await startNodes(t, server, 4);
  const { answer, elapsedMs } = await sendUpload(port, flood);
  t.match(answer, /^HTTP\/1\.1 504 /);
  t.match(answer, /connection: close/i);
  t.ok(elapsedMs > LIMIT_MS && elapsedMs < MAX_ANSWER_MS, `${Math.round(elapsedMs)} ms`);
});

// Guards against a node that goes on reading the rest of a request that it has answered.
tap.test('the rest of an answered request is read for a limited time', async (t) => {
  const server = createServer((request, response) => {
    request.resume();
    response.end('early');
  });
  const port = await startNodes(t, server, 4);
  const { answer, elapsedMs } = await sendUpload(port, flood);
  t.match(answer, /early$/);
  t.ok(elapsedMs < MAX_ANSWER_MS, `${Math.round(elapsedMs)} ms`);
});

// Guards against the end of a slow stream of short chunks.
tap.test('a stream of a few bytes at a time is served', async (t) => {
  const server = createServer((request, response) => {
    request.toArray().then(
      (parts) => response.end(String(Buffer.concat(parts as Buffer[]).length)),
      () => undefined,
    );
  });
  const port = await startNodes(t, server, 4);
  let sentBytes = 0;
  const { answer } = await sendUpload(port, (socket) => {
    const startedAtMs = performance.now();
    const timer = setInterval(() => {
      socket.write('1\r\nx\r\n'.repeat(2));
      sentBytes += 2;
      if (performance.now() - startedAtMs < DRIP_MS) return;
      clearInterval(timer);
      socket.write('0\r\n\r\nGET / HTTP/1.1\r\nhost: any\r\nconnection: close\r\n\r\n');
    }, DRIP_INTERVAL_MS);
  });
  t.match(answer, new RegExp(`^HTTP/1\\.1 200 .*\r\n\r\n${sentBytes}HTTP/1\\.1 200 `, 's'));
});
