/** Responses without a length whose caller-facing connection ends before they do. */
import { createServer } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import tap from 'tap';

import type { Socket } from 'node:net';
import type { Test } from 'tap';
import { TestMesh, listenOnLoopback } from '../../../test/requestMesh/index.js';
import type { TestNode } from '../../../test/requestMesh/index.js';

/** More than a node holds of one response, so that it is streamed. */
const LONG_PART_BYTES = 2 * 1_048_576;
const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';
const REQUEST = 'POST /uploads HTTP/1.1\r\nhost: any\r\ncontent-length: 0\r\n\r\n';
const WAIT_MS = 200;

interface Received {
  text: string;
  /** Whether the connection ended in order. */
  isOrderly: boolean;
}

interface Caller {
  socket: Socket;
  received: Promise<Received>;
}

const openCaller = (address: string, request = REQUEST): Caller => {
  const socket = connect(Number(address.split(':')[1]), '127.0.0.1');
  socket.write(request);
  const received = new Promise<Received>((resolve) => {
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    socket.on('error', () => resolve({ text, isOrderly: false }));
    socket.on('end', () => resolve({ text, isOrderly: true }));
  });
  return { socket, received };
};

/** Starts a node beside a server without HTTP that answers each connection by a function. */
const startNode = async (t: Test, answer: (socket: Socket) => void): Promise<TestNode> => {
  const server = createTcpServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => answer(socket));
  });
  const address = await listenOnLoopback(server);
  const mesh = new TestMesh();
  t.teardown(async () => {
    await mesh.stop();
    server.close();
  });
  const node = await mesh.startNode('entry');
  mesh.announce(node, createServer(), address);
  return node;
};

const writeLongPart = (socket: Socket): void => {
  socket.write(HEAD);
  socket.write('x'.repeat(LONG_PART_BYTES));
};

const INTERRUPTIONS: Record<string, (caller: Caller, node: TestNode) => unknown> = {
  'the node stops': (_, node) => node.requestServer.stop(),
  'the node ends its drain': (_, node) => node.requestServer.drain(1),
  'the caller ends its side': ({ socket }) => socket.end(),
};

// Guards against a node that closes a connection in order within a response without a length, which
// makes a part of it look whole (MIXED).
Object.entries(INTERRUPTIONS).forEach(([name, interrupt]) =>
  tap.test(`a part of a response does not look whole when ${name}`, async (t) => {
    const node = await startNode(t, writeLongPart);
    const caller = openCaller(node.address);
    await sleep(WAIT_MS);
    await interrupt(caller, node);
    const { text, isOrderly } = await caller.received;
    t.match(text.slice(0, 15), /^HTTP\/1.1 200 OK/);
    t.equal(isOrderly, false);
  }),
);
