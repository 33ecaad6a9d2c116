/** Memory of bundled nodes whose workers and callers send a byte in each segment. */
import { randomUUID } from 'node:crypto';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import tap from 'tap';

import type { Socket } from 'node:net';
import type { Test } from 'tap';
import {
  PlatformCluster,
  createConfigurationDocument,
  readRuntimeOptions,
  sendAttempt,
} from '../../stand-ins/platform/index.js';
import type { WorkerRun } from '../../stand-ins/platform/index.js';

const CONTROL_IP = '127.0.186.1';
/** The worker beside the first node is the faulty one; the callers connect to the second node. */
const NODE_IPS = ['127.0.186.2', '127.0.186.3'];
const SERVICES = ['desk', 'ledger'];
const [FAULTY_SERVICE = '', SOUND_SERVICE = ''] = SERVICES;
/** `memory_mb` of the smallest machine on which a node runs. */
const MEMORY_LIMIT_MB = 250;
const BYTES_PER_MB = 1_048_576;
const CALLERS = 100;
const SLOTS = 256;
const DEADLINE_MS = 9_500;
const OBSERVED_MS = 7_000;
const SAMPLE_INTERVAL_MS = 50;
const HTTP_OK = 200;
/** Below the size up to which nodes buffer a body before they pass it on. */
const BODY_BYTES = 65_000;
/** Lookups with these names get an answer byte by byte, the last one none. */
const BUFFERED = 'buffered';
const STREAMED = 'streamed';
const UNFRAMED = 'unframed';
const NEVER = 'never';

/** Framing of the answers to lookups. */
const FRAMING: Record<string, string> = {
  [BUFFERED]: `Content-Length: ${BODY_BYTES}\r\n`,
  [STREAMED]: 'Content-Length: 100000000\r\n',
  [UNFRAMED]: '',
};

/** Writes a part in a segment of its own, again and again until the connection is closed. */
const drip = (socket: Socket, part: string): void => {
  if (!socket.writable) return;
  const next = (): unknown => setImmediate(drip, socket, part);
  if (socket.write(part)) next();
  else socket.once('drain', next);
};

const writeFaulty = ({ path, attemptId }: WorkerRun, socket: Socket): boolean => {
  const name = path.split('/').at(-1) ?? '';
  if (name === NEVER) return true;
  const framing = FRAMING[name];
  if (framing === undefined) return false;
  socket.setNoDelay(true).on('error', () => undefined);
  const id = `Attempt-Id: ${attemptId}\r\nServer-Stamp: s\r\n`;
  socket.write(`HTTP/1.1 200 OK\r\n${id}${framing}\r\n`);
  drip(socket, 'x');
  return true;
};

interface Form {
  /** Method and path of the request. */
  line: string;
  fields: string[];
  /** Number of requests behind one another; one by default. */
  requests?: number;
  /** What the caller sends behind them, again and again; nothing by default. */
  part?: string;
}

const FORMS: Record<string, Form> = {
  'answers with a length': { line: `GET /${FAULTY_SERVICE}/${BUFFERED}`, fields: [] },
  'answers without a length': { line: `GET /${FAULTY_SERVICE}/${UNFRAMED}`, fields: [] },
  'long answers behind one another': {
    line: `GET /${FAULTY_SERVICE}/${STREAMED}`,
    fields: [],
    requests: 3,
  },
  'orders with a length': {
    line: `POST /${FAULTY_SERVICE}/orders/1`,
    fields: [`Content-Length: ${BODY_BYTES}`],
    part: 'x',
  },
  'orders in chunks': {
    line: `POST /${FAULTY_SERVICE}/orders/1`,
    fields: ['Transfer-Encoding: chunked'],
    part: '1\r\nx\r\n',
  },
  'a request behind many without an answer': {
    line: `GET /${FAULTY_SERVICE}/${NEVER}`,
    fields: [],
    requests: 40,
    part: 'x',
  },
};

const call = (outbound: string, { line, fields, requests = 1, part }: Form): Socket => {
  const [host = '', port] = outbound.split(':');
  const socket = connect(Number(port), host);
  socket
    .setNoDelay(true)
    .on('error', () => undefined)
    .resume();
  const head = [
    ...[`${line} HTTP/1.1`, 'Host: shop.example', `Attempt-Id: ${randomUUID()}`],
    ...[`Deadline-Remaining: ${DEADLINE_MS}`, ...fields, '\r\n'],
  ];
  socket.write(head.join('\r\n').repeat(requests));
  if (part !== undefined) drip(socket, part);
  return socket;
};

const startPlatform = async (t: Test): Promise<PlatformCluster> => {
  const runtimeOptions = await readRuntimeOptions();
  const platform = new PlatformCluster({
    controlIps: [CONTROL_IP],
    nodeIps: NODE_IPS,
    services: SERVICES,
    zones: ['zone-a'],
    machine: { isBundled: true },
    node: { runtimeOptions, memoryMb: MEMORY_LIMIT_MB },
    findWorkerOptions: () => ({ slots: SLOTS, writeRawAnswer: writeFaulty }),
  });
  t.teardown(() => platform.stop());
  await platform.start();
  const document = createConfigurationDocument(1, 0, SERVICES);
  const routes = document.routes.map((route) => ({ ...route, timeout: '10s' }));
  const services = document.services.map((service) => ({ ...service, max_connections: SLOTS }));
  await platform.applyConfiguration({ ...document, routes, services });
  await platform.waitUntilServing();
  return platform;
};

// Guards against a machine out of memory because a node keeps what it buffers by segment: each takes more than a
// hundred times its byte, on the way from a faulty server or from a caller.
Object.entries(FORMS).forEach(([name, form]) =>
  tap.test(`nodes stay within their memory: ${name}, byte by byte`, async (t) => {
    const platform = await startPlatform(t);
    const outbounds = platform.nodes.map((machine) => machine.address('outbound'));
    const sockets = Array.from({ length: CALLERS }, () => call(outbounds.at(-1) ?? '', form));
    const endAtMs = performance.now() + OBSERVED_MS;
    const statuses: number[] = [];
    const largestMb = platform.nodes.map(() => 0);
    while (performance.now() < endAtMs) {
      const lookups = outbounds.map((outbound) =>
        sendAttempt(outbound, { path: `/${SOUND_SERVICE}/1` }),
      );
      statuses.push(...(await Promise.all(lookups)).map(({ status }) => status));
      const uses = await Promise.all(platform.nodes.map((machine) => machine.readMemoryUse()));
      uses.forEach(({ residentBytes, unreadBytes }, index) => {
        const heldMb = Math.round((residentBytes + unreadBytes) / BYTES_PER_MB);
        largestMb[index] = Math.max(largestMb[index] ?? 0, heldMb);
      });
      await sleep(SAMPLE_INTERVAL_MS);
    }
    sockets.forEach((socket) => socket.destroy());
    largestMb.forEach((heldMb, index) =>
      t.ok(heldMb < MEMORY_LIMIT_MB, `${NODE_IPS[index]}: ${heldMb} MB resident and unread`),
    );
    const served = statuses.filter((status) => status === HTTP_OK).length;
    t.equal(served, statuses.length, `${served} lookups at another worker`);
    const ends = [...platform.nodes, ...platform.controls].map(({ ownEnd }) => ownEnd);
    t.same(ends.filter(Boolean), [], 'no process ended by itself');
  }),
);
