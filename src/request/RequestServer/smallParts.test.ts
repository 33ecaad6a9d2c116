/** Bodies in chunks of one byte, whose parts take far more memory than their bytes. */
import { createServer } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import tap from 'tap';

import type { Socket } from 'node:net';
import type { Test } from 'tap';
import { TestMesh, listenOnLoopback } from '../../../test/requestMesh/index.js';

/** Callers, and slots of the server. */
const CONNECTIONS = 32;
/** A node has 250 MB on the smallest VM, of which it uses 60 to 100 MB otherwise. */
const MAX_GROWTH_BYTES = 64 * 1_048_576;
const OBSERVED_MS = 4_000;
const SAMPLE_MS = 100;
const CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(8_192));

/** Starts a node beside a server without HTTP, and opens connections to the node. */
const openConnections = async (t: Test, serve: (socket: Socket) => void): Promise<Socket[]> => {
  const sockets: Socket[] = [];
  const server = createTcpServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    serve(socket);
  });
  const address = await listenOnLoopback(server);
  const mesh = new TestMesh();
  const node = await mesh.startNode('entry');
  mesh.announce(node, createServer(), address, { slots: CONNECTIONS });
  const callers = Array.from({ length: CONNECTIONS }, () => {
    const caller = connect(Number(node.address.split(':')[1]), '127.0.0.1');
    caller.on('error', () => undefined);
    return caller;
  });
  t.teardown(async () => {
    [...callers, ...sockets].forEach((socket) => socket.destroy());
    server.close();
    await mesh.stop();
  });
  return callers;
};

const observeHeapBytes = async (remainingMs = OBSERVED_MS): Promise<number> => {
  await sleep(SAMPLE_MS);
  const { heapUsed } = process.memoryUsage();
  if (remainingMs <= 0) return heapUsed;
  return Math.max(heapUsed, await observeHeapBytes(remainingMs - SAMPLE_MS));
};

// Guards against a node that keeps each chunk of one byte in several objects: 64 of these responses
// took it to 500 MB.
tap.test(
  'responses in chunks of one byte take little memory while callers do not read',
  async (t) => {
    const callers = await openConnections(t, (socket) => {
      const write = (): void => {
        while (!socket.destroyed && socket.write(CHUNKS));
      };
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n');
        socket.on('drain', write);
        write();
      });
    });
    const beforeBytes = process.memoryUsage().heapUsed;
    callers.forEach((caller) => caller.pause().write('GET / HTTP/1.1\r\nhost: any\r\n\r\n'));
    const growthBytes = (await observeHeapBytes()) - beforeBytes;
    t.ok(growthBytes < MAX_GROWTH_BYTES, `${Math.round(growthBytes / 1e6)} MB`);
  },
);

// Guards against the same for request bodies: 200 of them took a node to 860 MB.
tap.test(
  'requests in chunks of one byte take little memory while the server does not read',
  async (t) => {
    const callers = await openConnections(t, (socket) => socket.pause());
    const beforeBytes = process.memoryUsage().heapUsed;
    callers.forEach((caller) => {
      caller.write('POST /uploads HTTP/1.1\r\nhost: any\r\ntransfer-encoding: chunked\r\n\r\n');
      for (let sent = 0; sent < 8; sent += 1) caller.write(CHUNKS);
    });
    const growthBytes = (await observeHeapBytes()) - beforeBytes;
    t.ok(growthBytes < MAX_GROWTH_BYTES, `${Math.round(growthBytes / 1e6)} MB`);
  },
);
