import { createServer } from 'node:http';
import { createServer as createTcpServer } from 'node:net';

import tap from 'tap';

import type { Test } from 'tap';
import { TestMesh, listenOnLoopback, send } from '../../../test/requestMesh/index.js';

/** Returns an address that refuses connections: the port was bound, then closed. */
const findRefusingAddress = async (): Promise<string> => {
  const server = createServer();
  const address = await listenOnLoopback(server);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return address;
};

const startMesh = async (t: Test) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry');
  const owner = await mesh.startNode('owner');
  return { mesh, entry, owner };
};

tap.test('a POST whose server resets has an unknown outcome and runs once', async (t) => {
  const { mesh, entry, owner } = await startMesh(t);
  let runs = 0;
  const reset = (request: { socket: { resetAndDestroy: () => unknown } }): void => {
    runs += 1;
    request.socket.resetAndDestroy();
  };
  await mesh.startBackend(entry, reset);
  await mesh.startBackend(owner, reset);
  const replies = await Promise.all(
    Array.from({ length: 10 }, () =>
      send(entry.address, { method: 'POST', path: '/orders', body: 'bundle' }),
    ),
  );
  replies.forEach((reply) => {
    t.equal(reply.status, 502);
    t.equal(reply.headers['foxtailvane-outcome'], 'unknown');
  });
  t.equal(runs, 10);
});

tap.test('a request is sent to another server when a server refuses the connection', async (t) => {
  const { mesh, entry, owner } = await startMesh(t);
  let runs = 0;
  const run = (_: unknown, response: { end: (body: string) => unknown }): void => {
    runs += 1;
    response.end('done');
  };
  await mesh.startBackend(owner, run);
  mesh.announce(entry, createServer(), await findRefusingAddress());
  mesh.announce(owner, createServer(), await findRefusingAddress());
  const replies = await Promise.all(
    Array.from({ length: 9 }, () =>
      send(entry.address, { method: 'POST', path: '/orders', body: 'bundle' }),
    ),
  );
  t.strictSame(new Set(replies.map((reply) => reply.status)), new Set([200]));
  t.equal(runs, 9);
});

tap.test('a lookup is retried on another server when a server resets', async (t) => {
  const { mesh, entry, owner } = await startMesh(t);
  await mesh.startBackend(owner, (request) => request.socket.resetAndDestroy());
  await mesh.startBackend(owner, (request, response) => {
    response.end(request.headers['foxtailvane-attempt'] ?? 'first');
  });
  const replies = await Promise.all(Array.from({ length: 30 }, () => send(entry.address)));
  t.strictSame(new Set(replies.map((reply) => reply.status)), new Set([200]));
  t.ok(
    replies.some((reply) => reply.body === '1'),
    'a retried request carries its attempt number',
  );
});

tap.test('a request that an outer layer retried is not retried', async (t) => {
  const { mesh, entry, owner } = await startMesh(t);
  let runs = 0;
  const reset = (request: { socket: { resetAndDestroy: () => unknown } }): void => {
    runs += 1;
    request.socket.resetAndDestroy();
  };
  await mesh.startBackend(owner, reset);
  await mesh.startBackend(owner, reset);
  const reply = await send(entry.address, { headers: { 'foxtailvane-attempt': '1' } });
  t.equal(reply.status, 502);
  t.equal(runs, 1);
});

tap.test('the time left decreases at each hop; a timeout is an unknown outcome', async (t) => {
  const { mesh, entry, owner } = await startMesh(t);
  const seen: number[] = [];
  let closed = 0;
  await mesh.startBackend(owner, (request, response) => {
    seen.push(Number(request.headers['foxtailvane-deadline-ms']));
    response.on('close', () => {
      closed += 1;
    });
  });
  const reply = await send(entry.address, {
    method: 'POST',
    path: '/orders',
    body: 'bundle',
    headers: { 'foxtailvane-deadline-ms': '300' },
  });
  t.equal(reply.status, 504);
  t.equal(reply.headers['foxtailvane-outcome'], 'unknown');
  t.equal(seen.length, 1);
  t.ok((seen[0] ?? 0) > 0 && (seen[0] ?? 0) <= 300, `${seen[0]} ms`);
  while (closed === 0) await new Promise(setImmediate);
  t.equal(closed, 1, 'the request is cancelled at the server');
});

tap.test('a request is cancelled at the server when its caller disconnects', async (t) => {
  const { mesh, entry, owner } = await startMesh(t);
  const abort = new AbortController();
  const gone = new Promise<void>((resolve) => {
    mesh
      .startBackend(owner, (_, response) => {
        response.on('close', resolve);
        abort.abort();
      })
      .catch(t.bailout);
  });
  while (owner.localServers.list().length === 0) await new Promise(setImmediate);
  await t.rejects(send(entry.address, { signal: abort.signal }));
  await gone;
  const local = owner.localServers.list()[0];
  while ((local?.gate.used ?? 0) > 0) await new Promise(setImmediate);
  t.equal(local?.gate.used, 0, 'the slot is released');
});

tap.test('lookups succeed although the server closes idle connections at any time', async (t) => {
  const { mesh, entry, owner } = await startMesh(t);
  const backend = await mesh.startBackend(owner, (_, response) => {
    response.end('stock');
    setImmediate(() => response.socket?.destroy());
  });
  const statuses = new Set<number>();
  for (let index = 0; index < 100; index += 1) {
    statuses.add((await send(entry.address)).status);
  }
  t.strictSame(statuses, new Set([200]));
  t.ok(backend);
});

tap.test('a response that is not HTTP has an unknown outcome', async (t) => {
  const { mesh, entry, owner } = await startMesh(t);
  const garbage = createTcpServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end('not http at all\r\n\r\n'));
  });
  t.teardown(() => garbage.close());
  const address = await listenOnLoopback(garbage);
  mesh.announce(owner, createServer(), address);
  const reply = await send(entry.address, { method: 'POST', path: '/orders', body: 'x' });
  t.equal(reply.status, 502);
  t.equal(reply.headers['foxtailvane-outcome'], 'unknown');
});
