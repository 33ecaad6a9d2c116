import { createServer } from 'node:net';

import tap from 'tap';

import type { Socket } from 'node:net';
import { TestMesh, listenOnLoopback, send } from '../../../test/requestMesh/index.js';

/** A tenth of the timeout of the route. */
const LIMIT_MS = 2_000;

// Guards against requests that wait for their deadline on a link that broke without a reset.
tap.test('lookups are retried away from an unresponsive node, then avoid it', async (t) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry');
  const silent = await mesh.startNode('silent');
  const owner = await mesh.startNode('owner');
  const sockets = new Set<Socket>();
  let swallowed = 0;
  const blackHole = createServer((socket) => {
    sockets.add(socket.on('error', () => undefined));
    socket.on('data', (chunk) => {
      // Counts requests of callers only, not probes.
      if (chunk.includes('foxtailvane-call')) swallowed += 1;
    });
  });
  const address = await listenOnLoopback(blackHole);
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    blackHole.close();
  });
  silent.localServers.setAddresses({ forwardAddress: address, peerAddress: address });
  await mesh.startBackend(silent, (_, response) => response.end('never'));
  await mesh.startBackend(owner, (_, response) => response.end('served'));
  const sendTimed = async () => {
    const startedAtMs = performance.now();
    const reply = await send(entry.address);
    return { reply, elapsedMs: performance.now() - startedAtMs };
  };
  const first = await Promise.all(Array.from({ length: 8 }, sendTimed));
  first.forEach(({ reply, elapsedMs }) => {
    t.equal(reply.body, 'served');
    t.ok(elapsedMs < LIMIT_MS, `${Math.round(elapsedMs)} ms`);
  });
  t.ok(swallowed > 0, `${swallowed} requests reached the unresponsive node`);
  const swallowedBefore = swallowed;
  const later = await Promise.all(Array.from({ length: 20 }, sendTimed));
  later.forEach(({ reply }) => t.equal(reply.body, 'served'));
  t.equal(swallowed, swallowedBefore, 'no later lookup reached it');
});
