import { createServer as createHttpServer } from 'node:http';
import { connect, createServer } from 'node:net';

import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import type { RequestListener } from 'node:http';
import type { Socket } from 'node:net';
import type { Test } from 'tap';
import { ServiceSchema } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import { splitAddress } from '../../connection/splitAddress/index.js';
import {
  TestMesh,
  compileForTest,
  createRoute,
  listenOnLoopback,
  send,
} from '../../../test/requestMesh/index.js';
import { RatioRetryBudget } from '../budgetRetries/index.js';
import type { TestNode } from '../../../test/requestMesh/index.js';

/** Longer than the time after which a node without an acknowledgement counts as unresponsive. */
const SLOW_NODE_MS = 900;
const LOOKUPS = 12;

const BUSY_BODY = 'the queue is full';

const answerBusy: RequestListener = (_, response) => {
  response.writeHead(503, { 'retry-after': '7' });
  response.end(BUSY_BODY);
};

const answerBusyInChunks: RequestListener = (_, response) => {
  response.writeHead(503, { 'retry-after': '7' });
  response.write(BUSY_BODY.slice(0, 3));
  response.end(BUSY_BODY.slice(3));
};

/** Allows no retry. */
class EmptyBudget extends RatioRetryBudget {
  override take(): boolean {
    return false;
  }
}

const shed: RequestListener = (_, response) => {
  response.statusCode = 503;
  response.end('shed');
};

const startMesh = (t: Test): TestMesh => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  return mesh;
};

/** Announces a server at an address that refuses connections, so that its node refuses requests. */
const announceUnreachable = async (mesh: TestMesh, node: TestNode): Promise<void> => {
  const server = createHttpServer();
  const address = await listenOnLoopback(server);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  mesh.announce(node, server, address);
};

/** Passes what a node sends to another one on after a delay, as if the other had stood still. */
const delayRequests = async (t: Test, { localServers }: TestNode): Promise<void> => {
  const { host, port } = splitAddress(localServers.record().forwardAddress);
  const sockets = new Set<Socket>();
  const link = createServer((socket) => {
    const upstream = connect(port, host);
    [socket, upstream].forEach((end) => sockets.add(end.on('error', () => end.destroy())));
    setTimeout(() => socket.pipe(upstream), SLOW_NODE_MS);
    upstream.pipe(socket);
  });
  const address = await listenOnLoopback(link);
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    link.close();
  });
  localServers.setAddresses({ forwardAddress: address, peerAddress: address });
};

// Guards against a 502 of the node in place of the answer of the only server.
tap.test('the 503 of the only server is passed on', async (t) => {
  const mesh = startMesh(t);
  const entry = await mesh.startNode('entry');
  await mesh.startBackend(entry, shed);
  const { status, body } = await send(entry.address);
  t.same([status, body], [503, 'shed']);
});

// Guards against a 502 of the node in place of the answer of the last server that was left.
tap.test('a 503 is passed on when no further server is left', async (t) => {
  const mesh = startMesh(t);
  const entry = await mesh.startNode('entry');
  const other = await mesh.startNode('other');
  await mesh.startBackend(entry, shed);
  await mesh.startBackend(other, shed);
  const { status, body } = await send(entry.address);
  t.same([status, body], [503, 'shed']);
});

// Guards against a 502 of the node in place of an answer that was withheld for a retry.
tap.test('a 503 is passed on when the budget has no retry', async (t) => {
  const mesh = startMesh(t);
  const entry = await mesh.startNode('entry', { createBudget: () => new EmptyBudget() });
  const other = await mesh.startNode('other');
  await mesh.startBackend(entry, shed);
  await mesh.startBackend(other, shed);
  const { status, body } = await send(entry.address);
  t.same([status, body], [503, 'shed']);
});

// Guards against a 502 of the node in place of an answer whose successor was refused.
tap.test('a 503 is passed on when the next server is unreachable', async (t) => {
  const mesh = startMesh(t);
  const entry = await mesh.startNode('entry');
  const other = await mesh.startNode('other');
  await mesh.startBackend(entry, shed);
  await announceUnreachable(mesh, other);
  const replies = await Promise.all(Array.from({ length: LOOKUPS }, () => send(entry.address)));
  const wrong = replies.filter(({ status }) => status !== 503);
  t.strictSame(
    wrong.map(({ status }) => status),
    [],
  );
});

// Guards against a 502 of the node after both of two overlapping attempts were answered 503.
tap.test('a 503 is passed on when both overlapping attempts are answered so', async (t) => {
  const mesh = startMesh(t);
  mesh.configuration = compileForTest(
    [createRoute({ maxAttempts: 2 })],
    [create(ServiceSchema, { name: 'desk', timeoutMs: 20_000 })],
  );
  const entry = await mesh.startNode('entry');
  const slow = await mesh.startNode('slow');
  const other = await mesh.startNode('other');
  await mesh.startBackend(slow, shed);
  await mesh.startBackend(other, shed);
  await delayRequests(t, slow);
  const replies = await Promise.all(Array.from({ length: LOOKUPS }, () => send(entry.address)));
  const statuses = replies.map(({ status }) => status);
  t.strictSame([...new Set(statuses)], [503]);
});

// Guards against a withheld response that loses a part of its head or body.
Object.entries({ 'with a length': answerBusy, 'in chunks': answerBusyInChunks }).forEach(
  ([form, listener]) =>
    tap.test(`a 503 ${form} is passed on as a whole`, async (t) => {
      const mesh = startMesh(t);
      const entry = await mesh.startNode('entry');
      const other = await mesh.startNode('other');
      await mesh.startBackend(other, listener);
      const { status, headers, body } = await send(entry.address);
      t.same([status, headers['retry-after'], body], [503, '7', BUSY_BODY]);
    }),
);

// Guards against a 503 that is passed on although another server serves the lookup.
tap.test('a lookup is served by another server after a 503', async (t) => {
  const mesh = startMesh(t);
  const entry = await mesh.startNode('entry');
  const other = await mesh.startNode('other');
  await mesh.startBackend(entry, shed);
  await mesh.startBackend(other, (_, response) => response.end('served'));
  const replies = await Promise.all(Array.from({ length: LOOKUPS }, () => send(entry.address)));
  replies.forEach(({ status, body }) => t.same([status, body], [200, 'served']));
});
