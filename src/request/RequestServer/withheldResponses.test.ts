import { createServer } from 'node:http';

import tap from 'tap';

import type { RequestListener } from 'node:http';
import type { Test } from 'tap';
import { TestMesh, listenOnLoopback, send } from '../../../test/requestMesh/index.js';

const LOOKUPS = 8;
const BUSY_BODY = 'the queue is full';

const startMesh = async (t: Test) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry');
  const first = await mesh.startNode('first');
  const second = await mesh.startNode('second');
  return { mesh, entry, first, second };
};

const answerBusy: RequestListener = (_, response) => {
  response.writeHead(503, { 'retry-after': '7' });
  response.end(BUSY_BODY);
};

const answerBusyInChunks: RequestListener = (_, response) => {
  response.writeHead(503, { 'retry-after': '7' });
  response.write(BUSY_BODY.slice(0, 3));
  response.end(BUSY_BODY.slice(3));
};

const sendLookups = (address: string) =>
  Promise.all(Array.from({ length: LOOKUPS }, () => send(address)));

// Guards against a failure of the node's own in place of a server's response, when no other server
// responds.
Object.entries({ 'with a length': answerBusy, 'in chunks': answerBusyInChunks }).forEach(
  ([form, listener]) =>
    tap.test(`a 503 of a server, ${form}, is passed on if the retry is refused`, async (t) => {
      const { mesh, entry, first, second } = await startMesh(t);
      await mesh.startBackend(first, listener);
      const unreachable = createServer();
      const address = await listenOnLoopback(unreachable);
      await new Promise((resolve) => {
        unreachable.close(resolve);
      });
      mesh.announce(second, unreachable, address);
      const replies = await sendLookups(entry.address);
      replies.forEach(({ status, headers, body }) =>
        t.same([status, headers['retry-after'], body], [503, '7', BUSY_BODY]),
      );
    }),
);

// Guards against the same where there is no other server at all.
tap.test('a 503 of the only server is passed on', async (t) => {
  const { mesh, entry, first } = await startMesh(t);
  await mesh.startBackend(first, answerBusy);
  const replies = await sendLookups(entry.address);
  replies.forEach(({ status, body }) => t.same([status, body], [503, BUSY_BODY]));
});

// Guards against a 503 that is passed on although another server serves the lookup.
tap.test('a lookup is served by another server after a 503', async (t) => {
  const { mesh, entry, first, second } = await startMesh(t);
  await mesh.startBackend(first, answerBusy);
  await mesh.startBackend(second, (_, response) => response.end('served'));
  const replies = await sendLookups(entry.address);
  replies.forEach(({ status, body }) => t.same([status, body], [200, 'served']));
});
