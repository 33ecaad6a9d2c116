/** Resident memory of bundled programs whose callers send bytes without end, or do not read. */
import { randomUUID } from 'node:crypto';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import tap from 'tap';

import type { Socket } from 'node:net';
import type { Test } from 'tap';
import {
  PlatformCluster,
  callControl,
  createConfigurationDocument,
  sendAttempt,
} from '../../stand-ins/platform/index.js';
import type PlatformMachine from '../../stand-ins/platform/PlatformMachine.js';

const CONTROL_IP = '127.0.131.1';
const NODE_IPS = ['127.0.131.2', '127.0.131.3'];
const SERVICES = ['desk', 'ledger'];
/** `memory_mb` of the smallest machines on which a node and a control VM run. */
const NODE_LIMIT_BYTES = 250 * 1_048_576;
const CONTROL_LIMIT_BYTES = 346 * 1_048_576;
const NODE_OPTIONS = ['--single-threaded', '--max-semi-space-size=1', '--liftoff-only'];
const CONTROL_OPTIONS = ['--single-threaded', '--max-semi-space-size=4'];
const FLOOD_MS = 2_000;
const PROBE_INTERVAL_MS = 200;
const PART_BYTES = 65_536;
const CHUNK = `${PART_BYTES.toString(16)}\r\n${' '.repeat(PART_BYTES)}\r\n`;

interface Flood {
  sockets: Socket[];
  /** Bytes that were read, by connection. */
  answers: string[];
}

const openSocket = (address: string): Socket => {
  const [host = '', port] = address.split(':');
  return connect(Number(port), host).on('error', () => undefined);
};

/** Writes a part again and again until the connection is over. */
const writeEndlessly = (socket: Socket, part: string | Buffer): void => {
  if (!socket.destroyed) socket.write(part, () => setImmediate(writeEndlessly, socket, part));
};

/** Opens connections that send a start and then a part without end. */
const flood = (address: string, count: number, start: string, part: string | Buffer): Flood => {
  const answers = Array.from({ length: count }, () => '');
  const sockets = answers.map((_, index) => {
    const socket = openSocket(address);
    socket.on('data', (chunk: Buffer) => {
      answers[index] += chunk.toString('latin1');
    });
    socket.write(start);
    writeEndlessly(socket, part);
    return socket;
  });
  return { sockets, answers };
};

const createCall = (call: string, framing: string): string =>
  `POST /-/rpc?call=${call}&of=i-9 HTTP/1.1\r\nHost: control\r\n${framing}\r\n\r\n`;

const IN_CHUNKS = 'Transfer-Encoding: chunked';

const readStatus = (answer: string): string => /^HTTP\/1\.1 (\d+)/.exec(answer)?.[1] ?? 'none';

const setUp = async (t: Test): Promise<PlatformCluster> => {
  const platform = new PlatformCluster({
    controlIps: [CONTROL_IP],
    nodeIps: NODE_IPS,
    services: SERVICES,
    zones: ['zone-a'],
    machine: { isBundled: true, runtimeOptions: CONTROL_OPTIONS },
    node: { runtimeOptions: NODE_OPTIONS },
  });
  t.teardown(() => platform.stop());
  await platform.start();
  await platform.applyConfiguration(createConfigurationDocument(1, 0, SERVICES));
  await platform.waitUntilServing();
  return platform;
};

/** Sends a lookup, a heartbeat and an operator read; returns the statuses. */
const sendOthers = async (platform: PlatformCluster): Promise<number[]> => {
  const [node] = platform.nodes;
  const [control] = platform.controls;
  const lookup = sendAttempt(node?.address('outbound') ?? '', { path: '/ledger/1' });
  const read = callControl(control?.address('control') ?? '', 'configuration.read');
  const statuses = await Promise.all([
    lookup.then(({ status }) => status),
    platform.workers[0]?.sendHeartbeat() ?? 0,
    read.then(({ status }) => status),
  ]);
  return statuses;
};

const checkMemory = async (
  t: Test,
  machine: PlatformMachine | undefined,
  limitBytes: number,
  title: string,
): Promise<void> => {
  const peakBytes = (await machine?.readPeakResidentBytes()) ?? Infinity;
  t.ok(peakBytes < limitBytes, `${title}: ${Math.round(peakBytes / 1_048_576)} MB`);
};

/** Lets others send requests during a flood, and then ends its connections. */
const outlast = async (
  t: Test,
  platform: PlatformCluster,
  { sockets }: Flood,
  title: string,
): Promise<void> => {
  const rounds = Array.from({ length: FLOOD_MS / PROBE_INTERVAL_MS });
  const served = await rounds.reduce(async (earlier: Promise<number>) => {
    const count = await earlier;
    const [statuses] = await Promise.all([sendOthers(platform), sleep(PROBE_INTERVAL_MS)]);
    return count + (statuses.every((status) => status === 200) ? 1 : 0);
  }, Promise.resolve(0));
  t.equal(served, rounds.length, `${title}: other requests were served`);
  await checkMemory(t, platform.nodes[0], NODE_LIMIT_BYTES, `${title}, node`);
  await checkMemory(t, platform.controls[0], CONTROL_LIMIT_BYTES, `${title}, control VM`);
  sockets.forEach((socket) => socket.destroy());
};

// Guards against a program that keeps the whole body of a call before it compares its size with the limit.
tap.test('programs stay within their memory while calls have bodies without end', async (t) => {
  const platform = await setUp(t);
  const node = platform.nodes[0]?.address('control') ?? '';
  const control = platform.controls[0]?.address('control') ?? '';

  const heartbeats = flood(node, 16, createCall('instances.heartbeat', IN_CHUNKS), CHUNK);
  await outlast(t, platform, heartbeats, 'heartbeats in chunks');
  t.ok(
    heartbeats.answers.every((answer) => readStatus(answer) === '413'),
    'each is refused as too large',
  );

  const declared = createCall('instances.heartbeat', 'Content-Length: 1000000000');
  const long = flood(node, 16, declared, ' '.repeat(PART_BYTES));
  await outlast(t, platform, long, 'heartbeats of 1 GB');
  t.ok(
    long.answers.every((answer) => readStatus(answer) === '413'),
    'each is refused as too large',
  );

  const changes = flood(control, 16, createCall('configuration.replace', IN_CHUNKS), CHUNK);
  await outlast(t, platform, changes, 'configurations without end');
  const statuses = changes.answers.map(readStatus);
  t.ok(
    statuses.every((status) => ['413', '503'].includes(status)),
    `each is refused: ${[...new Set(statuses)].join(' ')}`,
  );
});

const createLookup = (path: string): string =>
  [
    `GET ${path} HTTP/1.1`,
    ...['Host: shop.example', `Attempt-Id: ${randomUUID()}`, 'Deadline-Remaining: 2000', '\r\n'],
  ].join('\r\n');

/** Opens connections that send requests without end and read no response. */
const floodUnread = (address: string, requests: string[]): Flood => {
  const opened = requests.map((request) => flood(address, 1, request, request.repeat(300)));
  const sockets = opened.flatMap((one) => one.sockets);
  sockets.forEach((socket) => socket.pause());
  return { sockets, answers: [] };
};

// Guards against one connection with many requests ahead, during which no other caller is served.
tap.test('callers are served beside those that send requests without end', async (t) => {
  const platform = await setUp(t);
  const [node] = platform.nodes;
  const [control] = platform.controls;
  const paths = ['/ledger/1', '/desk/1', '/unknown/1'];
  const lookups = floodUnread(node?.address('outbound') ?? '', paths.map(createLookup));
  await outlast(t, platform, lookups, 'lookups');
  const metrics = 'GET /metrics HTTP/1.1\r\nHost: node\r\n\r\n';
  const scrapes = floodUnread(node?.address('ready') ?? '', [metrics, metrics]);
  await outlast(t, platform, scrapes, 'reads of metrics');
  const read = createCall('configuration.read', 'Content-Length: 0');
  const reads = floodUnread(control?.address('control') ?? '', [read, read]);
  await outlast(t, platform, reads, 'reads of the configuration');
});

const READERS = 200;
const LARGE_ROUTES = 6_000;

/** Creates a configuration of more than 3 MB. */
const createLargeDocument = () => {
  const document = createConfigurationDocument(2, 1, SERVICES);
  const routes = Array.from({ length: LARGE_ROUTES }, (_, index) => ({
    ...document.routes[0],
    name: `${'n'.repeat(200)}-${index}`,
    path_prefix: `/desk/${'p'.repeat(200)}-${index}/`,
  }));
  return { ...document, routes: [...document.routes, ...routes] };
};

// Guards against a control VM that keeps a copy of the configuration for each operator that does not read it.
tap.test('a control VM stays within its memory while operators do not read answers', async (t) => {
  const platform = await setUp(t);
  const control = platform.controls[0]?.address('control') ?? '';
  const document = createLargeDocument();
  await platform.applyConfiguration(document);
  const read = createCall('configuration.read', 'Content-Length: 0');
  const sockets = Array.from({ length: READERS }, () => {
    const socket = openSocket(control).pause();
    socket.write(read);
    return socket;
  });
  await outlast(t, platform, { sockets, answers: [] }, 'reads');
  const { body } = await callControl(control, 'configuration.read');
  t.equal(body, JSON.stringify(document), 'the configuration is returned as it was sent');
});
