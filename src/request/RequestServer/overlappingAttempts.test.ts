import { createServer as createHttpServer } from 'node:http';
import { connect, createServer } from 'node:net';

import { setTimeout as delay } from 'node:timers/promises';

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
import type { TestNode } from '../../../test/requestMesh/index.js';

/** Longer than the time after which a node without an acknowledgement counts as unresponsive. */
const SLOW_NODE_MS = 900;
const LOOKUPS = 12;

const startMesh = async (t: Test) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry');
  const slow = await mesh.startNode('slow');
  const other = await mesh.startNode('other');
  return { mesh, entry, slow, other };
};

/** Passes what a node sends to another one on after a delay, as if the other had stood still. */
const delayRequests = async (
  t: Test,
  { localServers }: TestNode,
  delayMs = SLOW_NODE_MS,
): Promise<void> => {
  const { host, port } = splitAddress(localServers.record().forwardAddress);
  const sockets = new Set<Socket>();
  const link = createServer((socket) => {
    const upstream = connect(port, host);
    [socket, upstream].forEach((end) => sockets.add(end.on('error', () => end.destroy())));
    setTimeout(() => socket.pipe(upstream), delayMs);
    upstream.pipe(socket);
  });
  const address = await listenOnLoopback(link);
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    link.close();
  });
  localServers.setAddresses({ forwardAddress: address, peerAddress: address });
};

/**
 * Announces a server at an address that refuses connections, so that its node refuses requests; returns
 * the server and the address at which it can be started.
 */
const announceUnreachable = async (mesh: TestMesh, node: TestNode) => {
  const server = createHttpServer((_, response) => response.end('served'));
  const address = await listenOnLoopback(server);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  mesh.announce(node, server, address);
  return { server, ...splitAddress(address) };
};

// Guards against a lookup that fails although its first server answers in time, since another server
// was listed that could not serve it.
tap.test('a lookup waits for a slow node after another node refused it', async (t) => {
  const { mesh, entry, slow, other } = await startMesh(t);
  await mesh.startBackend(slow, (_, response) => response.end('served'));
  await announceUnreachable(mesh, other);
  await delayRequests(t, slow);
  const replies = await Promise.all(Array.from({ length: LOOKUPS }, () => send(entry.address)));
  replies.forEach(({ status, body }) => t.same([status, body], [200, 'served']));
});

// Guards against a lookup that waits for a node that stands still until its deadline, although a server
// that has refused it before has room again.
tap.test('a lookup is sent again to a server that refused it before', async (t) => {
  const { mesh, entry, slow, other } = await startMesh(t);
  await mesh.startBackend(slow, (_, response) => response.end('late'));
  const { server, host, port } = await announceUnreachable(mesh, other);
  t.teardown(() => server.close());
  await delayRequests(t, slow, 10 * SLOW_NODE_MS);
  const replies = Promise.all(Array.from({ length: LOOKUPS }, () => send(entry.address)));
  await delay(SLOW_NODE_MS);
  server.listen(port, host);
  (await replies).forEach(({ status, body }) => t.same([status, body], [200, 'served']));
});

// Guards against an answer that is lost, doubled or mixed while two servers run a lookup.
tap.test('the first of two answers is passed on and the other run ends', async (t) => {
  const { mesh, entry, slow, other } = await startMesh(t);
  const cut = new Set<string>();
  const body = 'x'.repeat(200_000);
  await mesh.startBackend(slow, (_, response) => response.end(`slow ${body}`));
  await mesh.startBackend(other, (request, response) => {
    response.on('close', () => {
      if (!response.writableFinished) cut.add(String(request.headers['foxtailvane-attempt']));
    });
    const isSecond = request.headers['foxtailvane-attempt'] === '1';
    setTimeout(() => response.end(`other ${body}`), isSecond ? 2 * SLOW_NODE_MS : 0);
  });
  await delayRequests(t, slow);
  const replies = await Promise.all(Array.from({ length: LOOKUPS }, () => send(entry.address)));
  replies.forEach((reply) => {
    t.equal(reply.status, 200);
    t.ok([`slow ${body}`, `other ${body}`].includes(reply.body), reply.body.slice(0, 20));
  });
  t.ok(
    replies.some((reply) => reply.body.startsWith('slow')),
    'some first attempts answer',
  );
  t.strictSame([...cut], ['1'], 'the second attempts are cancelled at their server');
});

// Guards against a run that goes on after its lookup was answered by another server.
tap.test('an overdue attempt is cancelled once another server has answered', async (t) => {
  const { mesh, entry, slow, other } = await startMesh(t);
  let finished = 0;
  await mesh.startBackend(slow, (_, response) => {
    response.on('finish', () => {
      finished += 1;
    });
    setTimeout(() => response.end('slow'), SLOW_NODE_MS);
  });
  await mesh.startBackend(other, (_, response) => response.end('other'));
  await delayRequests(t, slow);
  const replies = await Promise.all(Array.from({ length: LOOKUPS }, () => send(entry.address)));
  replies.forEach(({ status, body }) => t.same([status, body], [200, 'other']));
  await delay(2.5 * SLOW_NODE_MS);
  t.equal(finished, 0);
  t.equal(slow.localServers.list()[0]?.gate.used, 0, 'its slots are free again');
});

// Guards against an answer of the node in place of that of a server, once the other attempt failed.
tap.test('a lookup is served although the second server breaks it off', async (t) => {
  const { mesh, entry, slow, other } = await startMesh(t);
  await mesh.startBackend(slow, (_, response) => response.end('served'));
  await mesh.startBackend(other, (request, response) => {
    if (request.headers['foxtailvane-attempt'] === '1') request.socket.destroy();
    else response.end('served');
  });
  await delayRequests(t, slow);
  const replies = await Promise.all(Array.from({ length: LOOKUPS }, () => send(entry.address)));
  replies.forEach(({ status, body }) => t.same([status, body], [200, 'served']));
});

// Guards against a lookup that fails since its streamed body can't be sent a second time.
tap.test('a lookup with a streamed body waits for a slow node', async (t) => {
  const { mesh, entry, slow, other } = await startMesh(t);
  mesh.configuration = compileForTest(
    [createRoute({ methods: ['POST'] })],
    [create(ServiceSchema, { name: 'desk', timeoutMs: 20_000 })],
  );
  const echo: RequestListener = (request, response) => {
    request.pipe(response);
  };
  await mesh.startBackend(slow, echo);
  await mesh.startBackend(other, echo);
  await delayRequests(t, slow);
  const headers = { 'transfer-encoding': 'chunked' };
  const replies = await Promise.all(
    Array.from({ length: LOOKUPS }, () =>
      send(entry.address, { method: 'POST', headers, body: 'lookup' }),
    ),
  );
  replies.forEach(({ status, body }) => t.same([status, body], [200, 'lookup']));
});

// Guards against an order that runs twice because the node of its server is slow.
tap.test('an order is sent to no second server while its node is slow', async (t) => {
  const { mesh, entry, slow, other } = await startMesh(t);
  let runs = 0;
  const run: RequestListener = (_, response) => {
    runs += 1;
    response.end('placed');
  };
  await mesh.startBackend(slow, run);
  await mesh.startBackend(other, run);
  await delayRequests(t, slow);
  const replies = await Promise.all(
    Array.from({ length: LOOKUPS }, () =>
      send(entry.address, { method: 'POST', path: '/orders', body: 'bundle' }),
    ),
  );
  replies.forEach(({ status, body }) => t.same([status, body], [200, 'placed']));
  t.equal(runs, LOOKUPS);
});

// Guards against more arrivals at servers than `maxAttempts` allows.
tap.test('no more attempts overlap than the route allows', async (t) => {
  const { mesh, entry, slow, other } = await startMesh(t);
  mesh.configuration = compileForTest(
    [createRoute({ maxAttempts: 2 })],
    [create(ServiceSchema, { name: 'desk', timeoutMs: 20_000 })],
  );
  let runs = 0;
  const run: RequestListener = (_, response) => {
    runs += 1;
    response.end('served');
  };
  const third = await mesh.startNode('third');
  await Promise.all([slow, other, third].map((node) => mesh.startBackend(node, run)));
  await Promise.all([slow, other, third].map((node) => delayRequests(t, node)));
  const replies = await Promise.all(Array.from({ length: LOOKUPS }, () => send(entry.address)));
  replies.forEach(({ status, body }) => t.same([status, body], [200, 'served']));
  t.ok(runs <= 2 * LOOKUPS, `${runs} runs`);
});
