import { connect, createServer } from 'node:net';

import tap from 'tap';

import type { Socket } from 'node:net';
import { splitAddress } from '../../connection/splitAddress/index.js';
import { TestMesh, listenOnLoopback, send } from '../../../test/requestMesh/index.js';

/** A tenth of the timeout of the route. */
const MAX_LATENCY_MS = 2_000;

// Guards against requests that wait for their deadline on a link that broke without a reset.
tap.test('lookups are retried away from an unresponsive node, then avoid it', async (t) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry');
  const unresponsive = await mesh.startNode('silent');
  const owner = await mesh.startNode('owner');
  const sockets = new Set<Socket>();
  let received = 0;
  const blackHole = createServer((socket) => {
    sockets.add(socket.on('error', () => undefined));
    socket.on('data', (chunk) => {
      // Counts requests of callers only, not probes.
      if (chunk.includes('foxtailvane-call')) received += 1;
    });
  });
  const address = await listenOnLoopback(blackHole);
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    blackHole.close();
  });
  unresponsive.localServers.setAddresses({ forwardAddress: address, peerAddress: address });
  await mesh.startBackend(unresponsive, (_, response) => response.end('never'));
  await mesh.startBackend(owner, (_, response) => response.end('served'));
  const sendTimed = async () => {
    const startedAtMs = performance.now();
    const reply = await send(entry.address);
    return { reply, elapsedMs: performance.now() - startedAtMs };
  };
  const first = await Promise.all(Array.from({ length: 8 }, sendTimed));
  first.forEach(({ reply, elapsedMs }) => {
    t.equal(reply.body, 'served');
    t.ok(elapsedMs < MAX_LATENCY_MS, `${Math.round(elapsedMs)} ms`);
  });
  t.ok(received > 0, `${received} requests reached the unresponsive node`);
  const receivedBefore = received;
  const later = await Promise.all(Array.from({ length: 20 }, sendTimed));
  later.forEach(({ reply }) => t.equal(reply.body, 'served'));
  t.equal(received, receivedBefore, 'no later lookup reached it');
});

/** Longer than the time after which a node without an acknowledgement counts as unresponsive. */
const SLOW_NODE_MS = 900;

// Guards against a lookup that fails although its server answers in time: its node was slow, and no
// other server or no retry was left.
tap.test('a lookup that cannot be sent elsewhere waits for a slow node', async (t) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry');
  const owner = await mesh.startNode('owner');
  const { forwardAddress } = owner.localServers.record();
  const { host, port } = splitAddress(forwardAddress);
  const sockets = new Set<Socket>();
  const slowLink = createServer((socket) => {
    const upstream = connect(port, host);
    [socket, upstream].forEach((end) => sockets.add(end.on('error', () => end.destroy())));
    setTimeout(() => socket.pipe(upstream), SLOW_NODE_MS);
    upstream.pipe(socket);
  });
  const address = await listenOnLoopback(slowLink);
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    slowLink.close();
  });
  await mesh.startBackend(owner, (_, response) => response.end('served'));
  owner.localServers.setAddresses({ forwardAddress: address, peerAddress: address });
  const replies = await Promise.all(Array.from({ length: 5 }, () => send(entry.address)));
  replies.forEach(({ status, body }) => t.same([status, body], [200, 'served']));
});
