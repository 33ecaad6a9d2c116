import { createServer } from 'node:http';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import tap from 'tap';

import type { AddressInfo, Socket } from 'node:net';
import type { Test } from 'tap';
import endStalledResponses from './index.js';

const TIMEOUT_MS = 300;
/** More than the system buffers for a connection. */
const LARGE = Buffer.alloc(20_000_000);

const setUp = async (t: Test) => {
  const server = createServer((request, response) => {
    if (request.url === '/large') response.end(LARGE);
    else setTimeout(() => response.end('late'), TIMEOUT_MS * 3);
  });
  endStalledResponses(server, TIMEOUT_MS);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const countConnections = () =>
    new Promise<number>((resolve) => {
      server.getConnections((_, count) => resolve(count));
    });
  const open = (path: string): Socket => {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.write(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`);
    t.teardown(() => socket.destroy());
    return socket;
  };
  return { open, countConnections };
};

// Guards against responses that are kept for as long as their callers do not read.
tap.test('a connection whose peer reads nothing is ended', async (t) => {
  const { open, countConnections } = await setUp(t);
  open('/large').pause();
  await sleep(TIMEOUT_MS / 3);
  t.equal(await countConnections(), 1);
  await sleep(TIMEOUT_MS * 3);
  t.equal(await countConnections(), 0);
});

// Guards against the end of connections that wait for a response, are idle or are read slowly.
tap.test('other connections are kept', async (t) => {
  const { open, countConnections } = await setUp(t);
  const waiting = open('/late');
  const received: Buffer[] = [];
  waiting.on('data', (chunk: Buffer) => received.push(chunk));
  const slow = open('/large').pause();
  const timer = setInterval(() => {
    slow.resume();
    setImmediate(() => slow.pause());
  }, TIMEOUT_MS / 10);
  t.teardown(() => clearInterval(timer));
  await sleep(TIMEOUT_MS * 4);
  t.match(Buffer.concat(received).toString(), /late$/);
  t.equal(await countConnections(), 2);
});
