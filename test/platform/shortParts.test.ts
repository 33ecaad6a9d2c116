/** Requests of others at bundled nodes whose callers or workers send bodies in chunks of one byte. */
import { randomUUID } from 'node:crypto';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import tap from 'tap';
import { Client } from 'undici';

import type { Socket } from 'node:net';
import type { Test } from 'tap';
import { PlatformCluster, createConfigurationDocument } from '../../stand-ins/platform/index.js';

const CONTROL_IP = '127.0.161.1';
const NODE_IPS = ['127.0.162.1', '127.0.162.2'];
/** Each is beside the node with the same index. */
const SERVICES = ['ledger', 'desk'];
const NODE_OPTIONS = ['--single-threaded', '--max-semi-space-size=1', '--liftoff-only'];
/** Callers per node that keep their connections, and the time between their lookups. */
const OTHERS = 15;
const LOOKUP_INTERVAL_MS = 200;
const DEADLINE_MS = 2_000;
const FLOOD_MS = 6_000;
/** Share of the lookups that others send without a flood. */
const MIN_SHARE = 0.8;
/** `memory_mb` of the smallest machine on which a node runs. */
const MEMORY_LIMIT_BYTES = 250 * 1_048_576;
const CONNECTIONS = 160;
const createChunk = (lengthBytes: number): string =>
  `${lengthBytes.toString(16)}\r\n${'x'.repeat(lengthBytes)}\r\n`;

const CHUNKS = Buffer.from(createChunk(1).repeat(10_922));
/** Chunks that a limit on those of a few bytes does not concern. */
const LONGER_CHUNKS = Buffer.from(createChunk(70).repeat(860));
/** Long chunks, between which short ones cost as much as without them. */
const MIXED_CHUNKS = Buffer.from((createChunk(4_080) + createChunk(1).repeat(683)).repeat(8));
const ENDLESS_PATH = '/desk/endless';

const createDocument = (): object => {
  const document = createConfigurationDocument(1, 0, SERVICES);
  const routes = document.routes.map((route) => ({ ...route, timeout: '10s' }));
  const services = document.services.map((service) => ({
    ...service,
    max_connections: CONNECTIONS,
  }));
  return { ...document, routes, services };
};

const createHead = (method: string, path: string): string =>
  [
    `${method} ${path} HTTP/1.1`,
    ...['Host: shop.example', `Attempt-Id: ${randomUUID()}`, 'Deadline-Remaining: 9000'],
    ...(method === 'POST' ? ['Transfer-Encoding: chunked'] : []),
    '\r\n',
  ].join('\r\n');

const openSocket = (address: string): Socket => {
  const [host = '', port] = address.split(':');
  return connect(Number(port), host)
    .on('error', () => undefined)
    .resume();
};

const writeEndlessly = (socket: Socket, chunks: Buffer): void => {
  if (!socket.destroyed) socket.write(chunks, () => setImmediate(writeEndlessly, socket, chunks));
};

/** Starts callers; returns a function that ends them. */
type Flood = (address: string, count: number) => () => void;

const sendOrders =
  (chunks: Buffer): Flood =>
  (address, count) => {
    const sockets = Array.from({ length: count }, () => {
      const socket = openSocket(address);
      socket.write(createHead('POST', '/desk/orders/1'));
      writeEndlessly(socket, chunks);
      return socket;
    });
    return () => sockets.forEach((socket) => socket.destroy());
  };

/** Callers that leave after 64 KiB and come back on a new connection. */
const sendShortOrders: Flood = (address, count) => {
  let isOver = false;
  const start = (): void => {
    if (isOver) return;
    const socket = openSocket(address);
    socket.write(createHead('POST', '/desk/orders/1'));
    socket.write(CHUNKS, () => socket.end());
    socket.once('close', () => setImmediate(start));
  };
  Array.from({ length: count }).forEach(start);
  return () => {
    isOver = true;
  };
};

const readEndlessAnswers: Flood = (address, count) => {
  const sockets = Array.from({ length: count }, () => {
    const socket = openSocket(address);
    socket.write(createHead('GET', ENDLESS_PATH));
    return socket;
  });
  return () => sockets.forEach((socket) => socket.destroy());
};

const writeEndlessAnswer = (path: string, attemptId: string, socket: Socket): boolean => {
  if (path !== ENDLESS_PATH) return false;
  socket.on('error', () => undefined);
  const head = ['HTTP/1.1 200 OK', `Attempt-Id: ${attemptId}`, 'Server-Stamp: s'];
  socket.write(`${[...head, 'Transfer-Encoding: chunked'].join('\r\n')}\r\n\r\n`);
  writeEndlessly(socket, CHUNKS);
  return true;
};

interface Lookups {
  sent: number;
  served: number;
  slowestMs: number;
}

const sendLookup = async (client: Client, lookups: Lookups): Promise<void> => {
  const startedAtMs = performance.now();
  const target = lookups;
  target.sent += 1;
  const isServed = await client
    .request({
      ...{ method: 'GET', path: '/ledger/1', headersTimeout: DEADLINE_MS },
      headers: {
        ...{ host: 'shop.example', 'attempt-id': randomUUID() },
        'deadline-remaining': String(DEADLINE_MS),
      },
    })
    .then(
      async ({ statusCode, body }) => (await body.text()) !== '' && statusCode === 200,
      () => false,
    );
  if (isServed) target.served += 1;
  target.slowestMs = Math.max(target.slowestMs, performance.now() - startedAtMs);
};

/** Sends lookups over a kept connection, one at a time. */
const keepLookingUp = async (client: Client, lookups: Lookups, untilMs: number): Promise<void> => {
  const nextAtMs = performance.now() + LOOKUP_INTERVAL_MS;
  if (nextAtMs > untilMs) return;
  await sendLookup(client, lookups);
  await sleep(Math.max(0, nextAtMs - performance.now()));
  await keepLookingUp(client, lookups, untilMs);
};

const checkOthers = async (
  t: Test,
  platform: PlatformCluster,
  { title, flood, count }: { title: string; flood: Flood; count: number },
): Promise<void> => {
  const outbounds = platform.nodes.map((machine) => machine.address('outbound'));
  const clients = outbounds.map((outbound) =>
    Array.from({ length: OTHERS }, () => new Client(`http://${outbound}`)),
  );
  // The connections of others are open before the flood.
  const warmUp = { sent: 0, served: 0, slowestMs: 0 };
  await Promise.all(clients.flat().map((client) => sendLookup(client, warmUp)));
  const end = flood(outbounds[0] ?? '', count);
  const untilMs = performance.now() + FLOOD_MS;
  const results = await Promise.all(
    clients.map(async (ofNode) => {
      const lookups = { sent: 0, served: 0, slowestMs: 0 };
      await Promise.all(ofNode.map((client) => keepLookingUp(client, lookups, untilMs)));
      return lookups;
    }),
  );
  end();
  await Promise.all(clients.flat().map((client) => client.destroy()));
  const planned = OTHERS * Math.floor(FLOOD_MS / LOOKUP_INTERVAL_MS - 1);
  results.forEach(({ sent, served, slowestMs }, index) => {
    const facts = `${title}, ${count} callers, ${NODE_IPS[index]}: ${served} of ${sent} served, slowest ${Math.round(slowestMs)} ms`;
    t.equal(served, sent, facts);
    t.ok(served >= MIN_SHARE * planned, `${facts}, of ${planned} planned`);
  });
  const peaks = await Promise.all(platform.nodes.map((node) => node.readPeakResidentBytes()));
  peaks.forEach((peakBytes, index) => {
    const facts = `${title}, ${count} callers, ${NODE_IPS[index]}: ${Math.round(peakBytes / 1_048_576)} MB`;
    t.ok(peakBytes < MEMORY_LIMIT_BYTES, facts);
  });
};

// Guards against a node that spends its time on bodies in chunks of one byte, so that requests of others
// pass their deadlines.
tap.test(
  'others are served within the memory of a node, beside bodies in chunks of one byte',
  async (t) => {
    const platform = new PlatformCluster({
      controlIps: [CONTROL_IP],
      nodeIps: NODE_IPS,
      services: SERVICES,
      zones: ['zone-a'],
      machine: { isBundled: true },
      node: { runtimeOptions: NODE_OPTIONS },
      findWorkerOptions: () => ({
        slots: CONNECTIONS,
        writeRawAnswer: ({ path, attemptId }, socket) =>
          writeEndlessAnswer(path, attemptId, socket),
      }),
    });
    t.teardown(() => platform.stop());
    await platform.start();
    await platform.applyConfiguration(createDocument());
    await platform.waitUntilServing();
    const floods: { title: string; flood: Flood; counts: number[] }[] = [
      { title: 'endless orders', flood: sendOrders(CHUNKS), counts: [4, 16, 64] },
      { title: 'orders on new connections', flood: sendShortOrders, counts: [4, 16, 64] },
      { title: 'endless answers', flood: readEndlessAnswers, counts: [4, 16, 64] },
      { title: 'orders in chunks of 70 bytes', flood: sendOrders(LONGER_CHUNKS), counts: [64] },
      { title: 'orders with long chunks too', flood: sendOrders(MIXED_CHUNKS), counts: [64] },
    ];
    const plays = floods.flatMap(({ title, flood, counts }) =>
      counts.map((count) => ({ title, flood, count })),
    );
    await plays.reduce(
      (earlier, play) => earlier.then(() => checkOthers(t, platform, play)),
      Promise.resolve(),
    );
  },
);
