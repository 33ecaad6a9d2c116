import { once } from 'node:events';
import { Agent } from 'node:http';
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import tap from 'tap';

import type { RequestListener } from 'node:http';
import type { Test } from 'tap';
import { splitAddress } from '../../connection/splitAddress/index.js';
import { TestMesh, send } from '../../../test/requestMesh/index.js';
import TestDirectory from '../../../test/requestMesh/TestDirectory.js';
import sendRaw from '../../../test/requestMesh/sendRaw.js';

import type { TestNode } from '../../../test/requestMesh/index.js';

const MIN_REQUESTS = 50;
const GRACE_MS = 500;
/** Maximum duration of a drain. */
const DRAIN_TIMEOUT_MS = 3_000;

const isReachable = (node: TestNode): Promise<boolean> =>
  send(node.address).then(
    () => true,
    () => false,
  );

tap.test('a drain completes the requests in flight on both hops, then closes', async (t) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry');
  const owner = await mesh.startNode('owner');
  const held: (() => void)[] = [];
  await mesh.startBackend(owner, (_, response) => {
    response.write('first ');
    held.push(() => response.end('last'));
  });
  const reply = send(entry.address);
  while (held.length === 0) await delay(5);
  let drained = 0;
  const drains = [entry, owner].map(async (node) => {
    await node.requestServer.drain();
    drained += 1;
  });
  await delay(300);
  t.equal(drained, 0, 'the drains wait for the request in flight');
  held.forEach((finish) => finish());
  const { status, body, isComplete } = await reply;
  t.strictSame({ status, body, isComplete }, { status: 200, body: 'first last', isComplete: true });
  await Promise.all(drains);
  t.equal(await isReachable(entry), false);
});

tap.test('idle connections of callers do not hold up a drain', async (t) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry', { drainGraceMs: GRACE_MS });
  await mesh.startBackend(entry, (_, response) => {
    response.end('ok');
  });
  const agent = new Agent({ keepAlive: true });
  t.teardown(() => agent.destroy());
  const before = await send(entry.address, { agent });
  t.equal(before.headers.connection, 'keep-alive');
  const drained = entry.requestServer.drain();
  const during = await send(entry.address, { agent });
  t.equal(during.headers.connection, 'close', 'callers are asked to close the connection');
  await drained;
  t.equal(await isReachable(entry), false);
});

tap.test('no request fails while a node drains under load, and no order runs twice', async (t) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry');
  const owners = [
    await mesh.startNode('owner-1', { drainGraceMs: GRACE_MS }),
    await mesh.startNode('owner-2', { drainGraceMs: GRACE_MS }),
  ];
  const runs = new Map<string, number>();
  await Promise.all(
    owners.map((owner) =>
      mesh.startBackend(owner, (request, response) => {
        const order = String(request.headers['x-order']);
        runs.set(order, (runs.get(order) ?? 0) + 1);
        setTimeout(() => response.end('ok'), 2);
      }),
    ),
  );
  const agent = new Agent({ keepAlive: true, maxSockets: 8 });
  t.teardown(() => agent.destroy());
  let isOver = false;
  const statuses: number[] = [];
  const load = async (name: string) => {
    let count = 0;
    while (!isOver) {
      count += 1;
      const headers = { 'x-order': `${name}-${count}` };
      const options = { agent, headers, path: '/orders', method: 'POST', body: 'bundle' };
      statuses.push((await send(entry.address, options)).status);
    }
  };
  const loads = ['a', 'b', 'c', 'd', 'e', 'f'].map(load);
  await delay(300);
  await owners[0]?.requestServer.drain();
  // A busy machine takes longer to serve this number of requests.
  while (statuses.length <= MIN_REQUESTS) await delay(10);
  isOver = true;
  await Promise.all(loads);
  t.ok(statuses.length > MIN_REQUESTS, `${statuses.length} requests`);
  t.strictSame(new Set(statuses), new Set([200]));
  t.equal(runs.size, statuses.length);
  t.equal(Math.max(...runs.values()), 1);
});

// Guards against a drain that lasts until its limit although no request is in flight.
tap.test('a connection without a request does not hold up a drain', async (t) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const node = await mesh.startNode('node');
  const socket = connect(splitAddress(node.address));
  socket.on('error', () => undefined);
  t.teardown(() => socket.destroy());
  await new Promise((resolve) => {
    socket.once('connect', resolve);
  });
  await isReachable(node);
  const startedAtMs = performance.now();
  await node.requestServer.drain(DRAIN_TIMEOUT_MS);
  const elapsedMs = performance.now() - startedAtMs;
  t.ok(elapsedMs < DRAIN_TIMEOUT_MS / 4, `${Math.round(elapsedMs)} ms`);
});

/** Starts a node, which a test drains, and a second one with a server beside it. */
const startEntry = async (t: Test, listener: RequestListener): Promise<TestNode> => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry', { drainGraceMs: GRACE_MS });
  const owner = await mesh.startNode('owner');
  await mesh.startBackend(owner, listener);
  return entry;
};

const createRawRequest = (method: string, path: string, body = ''): string =>
  `${method} ${path} HTTP/1.1\r\nhost: desk\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

// Guards against a response that closes the connection before those to the requests behind it (LOST).
tap.test('a draining node answers all requests that were sent behind one another', async (t) => {
  const entry = await startEntry(t, (request, response) => {
    setTimeout(() => response.end(`<${request.url}>`), 50);
  });
  const drained = entry.requestServer.drain();
  const received = await sendRaw(
    entry.address,
    [
      createRawRequest('GET', '/1'),
      createRawRequest('POST', '/orders/2', 'bundle'),
      createRawRequest('GET', '/3'),
    ].join(''),
  );
  t.strictSame(received.match(/<[^>]+>/g), ['</1>', '</orders/2>', '</3>']);
  t.equal(received.match(/connection: close/gi)?.length, 1, 'one response closes the connection');
  t.ok(received.lastIndexOf('onnection: close') > received.indexOf('</orders/2>'));
  await drained;
});

// Guards against an order that runs although the caller sends it again, on another connection.
tap.test('a request behind a response that closes the connection is not handled', async (t) => {
  const arrivals: string[] = [];
  const entry = await startEntry(t, (request, response) => {
    arrivals.push(request.url ?? '');
    response.write('first ');
    setTimeout(() => response.end('last'), 200);
  });
  const drained = entry.requestServer.drain();
  const socket = connect(splitAddress(entry.address));
  let received = '';
  socket.on('data', (chunk: Buffer) => {
    if (received === '') socket.write(createRawRequest('POST', '/orders/2', 'bundle'));
    received += chunk.toString('latin1');
  });
  socket.write(createRawRequest('GET', '/1'));
  await once(socket, 'close');
  t.match(received, /^HTTP\/1\.1 200 OK/);
  t.match(received, /connection: close/i);
  t.match(received, /last/, 'the first response is complete');
  t.strictSame(arrivals, ['/1']);
  await drained;
});

// Guards against a drain that closes a connection whose last response is not sent completely (LOST).
tap.test('a caller that reads slowly gets its whole response while a node drains', async (t) => {
  const bodyBytes = 8 * 1_048_576;
  const entry = await startEntry(t, (_, response) => {
    response.end(Buffer.alloc(bodyBytes, 'x'));
  });
  const socket = connect(splitAddress(entry.address));
  let receivedBytes = 0;
  const closed = once(socket, 'close');
  socket.on('error', () => undefined);
  socket.write(createRawRequest('GET', '/large'));
  await once(socket, 'readable');
  const drained = entry.requestServer.drain();
  await delay(GRACE_MS + 200);
  socket.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length;
  });
  await Promise.all([closed, drained]);
  t.ok(receivedBytes > bodyBytes, `${receivedBytes} of more than ${bodyBytes} bytes`);
});

// The same for a short response, of which nothing more has to be read from the server.
tap.test('a response that waits for its caller is sent while a node drains', async (t) => {
  const bodyBytes = 60_000;
  const requests = 200;
  const entry = await startEntry(t, (_, response) => {
    const body = Buffer.alloc(bodyBytes, 'x');
    response.writeHead(200, { 'content-length': bodyBytes }).end(body);
  });
  const socket = connect(splitAddress(entry.address));
  let receivedBytes = 0;
  const closed = once(socket, 'close');
  socket.on('error', () => undefined);
  // Their responses fill the buffers of the connection, and the last ones wait in the process.
  socket.write(createRawRequest('GET', '/short').repeat(requests));
  await once(socket, 'readable');
  await delay(300);
  const drained = entry.requestServer.drain();
  await delay(GRACE_MS + 200);
  socket.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length;
  });
  await Promise.all([closed, drained]);
  t.ok(receivedBytes > bodyBytes * requests, `${receivedBytes} of ${bodyBytes * requests} bytes`);
});

// Guards against requests that are passed on late in a drain and cut at its end (LOST).
tap.test('a request that may outlast the drain is refused in its second half', async (t) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry', { drainGraceMs: 100 });
  const owner = await mesh.startNode('owner', { drainGraceMs: 100 });
  const arrivals: string[] = [];
  await mesh.startBackend(owner, (request, response) => {
    arrivals.push(request.url ?? '');
    if (request.url !== '/held') response.end('ok');
  });
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  t.teardown(() => agent.destroy());
  await send(entry.address, { agent, path: '/before' });
  const held = send(entry.address, { path: '/held' }).catch(() => undefined);
  while (!arrivals.includes('/held')) await delay(5);
  const drained = entry.requestServer.drain(DRAIN_TIMEOUT_MS);
  await delay(DRAIN_TIMEOUT_MS / 2 + 100);
  const headers = { 'foxtailvane-deadline-ms': String(DRAIN_TIMEOUT_MS) };
  const refused = await send(entry.address, { agent, path: '/long', headers });
  t.equal(refused.status, 503);
  t.equal(refused.headers['foxtailvane-outcome'], 'not-run');
  t.equal(refused.headers['foxtailvane-reason'], 'NODE_DRAINING');
  t.notOk(arrivals.includes('/long'));
  await Promise.all([held, drained]);
});

// The same at the node beside the server, to which other nodes may still send requests.
tap.test('a draining node refuses late requests of other nodes', async (t) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry');
  const draining = await mesh.startNode('draining', { drainAnnounceDelayMs: DRAIN_TIMEOUT_MS });
  const arrivals: string[] = [];
  const backend = await mesh.startBackend(draining, (request, response) => {
    arrivals.push(request.url ?? '');
    if (request.url !== '/held') response.end('ok');
  });
  const held = send(entry.address, { path: '/held' }).catch(() => undefined);
  while (!arrivals.includes('/held')) await delay(5);
  const drained = draining.requestServer.drain(DRAIN_TIMEOUT_MS);
  await delay(DRAIN_TIMEOUT_MS / 2 + 100);
  const headers = { 'foxtailvane-deadline-ms': String(DRAIN_TIMEOUT_MS) };
  const refused = await send(entry.address, { path: '/long', headers });
  t.equal(refused.status, 503);
  t.equal(refused.headers['foxtailvane-outcome'], 'not-run');
  const short = { 'foxtailvane-deadline-ms': '500' };
  t.equal((await send(entry.address, { path: '/short', headers: short })).status, 200);
  t.notOk(arrivals.includes('/long'));
  t.ok(backend.server.listening);
  await Promise.all([held, drained]);
});

// Guards against an answer that is lost because the caller is still sending the body of its request.
tap.test('an early answer reaches its caller while the node drains', async (t) => {
  const entry = await startEntry(t, (_, response) => {
    setTimeout(() => response.end('early'), 20);
  });
  const drained = entry.requestServer.drain();
  const socket = connect(splitAddress(entry.address));
  let received = '';
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString('latin1');
  });
  socket.on('error', () => undefined);
  const closed = once(socket, 'close');
  // The caller reads once it has sent everything.
  socket.pause();
  socket.write('POST /orders/1 HTTP/1.1\r\nhost: desk\r\ntransfer-encoding: chunked\r\n\r\n');
  const parts = ['6\r\nbundle\r\n', '5\r\nof wi\r\n', '0\r\n\r\n'];
  await parts.reduce(async (previous, part) => {
    await previous;
    await delay(60);
    socket.write(part);
  }, Promise.resolve());
  socket.resume();
  await closed;
  t.match(received, /^HTTP\/1\.1 200 OK/);
  t.match(received, /early/);
  await drained;
});

// Guards against a request that is reset because the event loop was late and had not read it when the drain
// closed the connections without requests.
tap.test('a request that has arrived before a drain closes is answered', async (t) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry', { drainGraceMs: GRACE_MS });
  const owner = await mesh.startNode('owner');
  await mesh.startBackend(owner, (_, response) => {
    response.end('ok');
  });
  const { host, port } = splitAddress(entry.address);
  const socket = connect(port, host);
  let received = '';
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString();
  });
  socket.on('error', () => undefined);
  const closed = once(socket, 'close');
  const sendLookup = (): boolean => socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  await once(socket, 'connect');
  sendLookup();
  while (received === '') await delay(1);
  received = '';
  const drained = entry.requestServer.drain();
  await delay(GRACE_MS - 30);
  // Sent while the event loop is late, after its last poll and before the timer of the drain.
  setTimeout(sendLookup, 10);
  const lateUntilMs = performance.now() + 60;
  while (performance.now() < lateUntilMs);
  await closed;
  await drained;
  t.match(received, /^HTTP\/1\.1 200 /);
});

// Guards against requests that are reset since their entry nodes have not learnt of the drain yet.
tap.test('a draining node serves nodes that learn of the drain late', async (t) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const directory = new TestDirectory();
  const entry = await mesh.startNode('entry', { directory });
  const owner = await mesh.startNode('owner', { drainGraceMs: 100 });
  await mesh.startBackend(owner, (_, response) => {
    response.end('ok');
  });
  directory.nodes.set('owner', owner.localServers);
  directory.freeze();
  const drained = owner.requestServer.drain(DRAIN_TIMEOUT_MS);
  const statuses: number[] = [];
  const untilMs = performance.now() + 1_000;
  while (performance.now() < untilMs) {
    statuses.push((await send(entry.address, { method: 'POST', path: '/orders' })).status);
    await delay(20);
  }
  t.strictSame([...new Set(statuses)], [200]);
  await drained;
});
