/** Memory of bundled nodes whose callers do not read answers without end. */
import { randomUUID } from 'node:crypto';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import tap from 'tap';

import type { Socket } from 'node:net';
import {
  PlatformCluster,
  createConfigurationDocument,
  readRuntimeOptions,
  sendAttempt,
} from '../../stand-ins/platform/index.js';
import type PlatformMachine from '../../stand-ins/platform/PlatformMachine.js';

const CONTROL_IP = '127.0.181.1';
/** Workers beside the first three nodes send answers without end. */
const NODE_IPS = ['127.0.182.1', '127.0.182.2', '127.0.182.3', '127.0.182.4'];
const SERVICES = ['desk', 'stock', 'orders', 'ledger'];
const FAULTY_SERVICES = SERVICES.slice(0, 3);
const SOUND_SERVICE = 'ledger';
const BYTES_PER_MB = 1_048_576;
/** `memory_mb` of the smallest machine on which a node runs. */
const MEMORY_LIMIT_MB = 250;
/** Limit where a machine also counts what callers have not taken. */
const UNTAKEN_LIMIT_MB = 350;
/** Callers of each node that read nothing. */
const UNREAD_CALLERS = [100, 300];
/** Of the lookups at the sound worker. */
const MIN_SERVED_SHARE = 0.99;
const SLOTS = 512;
const DEADLINE_MS = 9_000;
const OBSERVED_MS = 8_000;
const SAMPLE_INTERVAL_MS = 100;
const LOOKUP_INTERVAL_MS = 50;
const PART = 'x'.repeat(16_384);

interface EndlessAnswer {
  fields: string;
  part: string;
}

const ENDLESS: Record<string, EndlessAnswer> = {
  chunks: { fields: 'Transfer-Encoding: chunked\r\n', part: `4000\r\n${PART}\r\n` },
  unframed: { fields: '', part: PART },
  length: { fields: 'Content-Length: 1000000000000\r\n', part: PART },
};
const FORMS = Object.keys(ENDLESS);

const flood = (socket: Socket, part: string): void => {
  if (!socket.destroyed) socket.write(part, () => setImmediate(flood, socket, part));
};

const writeEndless = (path: string, attemptId: string, socket: Socket): boolean => {
  const answer = ENDLESS[path.split('/').at(-1) ?? ''];
  if (!answer) return false;
  socket.on('error', () => undefined);
  const id = `Attempt-Id: ${attemptId}\r\nServer-Stamp: s\r\n`;
  socket.write(`HTTP/1.1 200 OK\r\n${id}${answer.fields}\r\n`);
  flood(socket, answer.part);
  return true;
};

/** Sends a request whose answer is not read. */
const callUnread = (outbound: string, path: string): Socket => {
  const [host = '', port] = outbound.split(':');
  const socket = connect(Number(port), host).pause();
  socket.on('error', () => undefined);
  socket.write(
    [
      ...[`GET ${path} HTTP/1.1`, 'Host: shop.example', `Attempt-Id: ${randomUUID()}`],
      ...[`Deadline-Remaining: ${DEADLINE_MS}`, '\r\n'],
    ].join('\r\n'),
  );
  return socket;
};

const createDocument = (): object => {
  const document = createConfigurationDocument(1, 0, SERVICES);
  const routes = document.routes.map((route) => ({ ...route, timeout: '10s' }));
  const services = document.services.map((service) => ({ ...service, max_connections: SLOTS }));
  return { ...document, routes, services };
};

interface Peak {
  heldMb: number;
  totalMb: number;
  residentMb: number;
  untakenMb: number;
}

/** Samples the memory of a machine; returns the largest values. */
const observePeak = async (machine: PlatformMachine): Promise<Peak> => {
  const endAtMs = performance.now() + OBSERVED_MS;
  const peak = { heldMb: 0, totalMb: 0, residentMb: 0, untakenMb: 0 };
  while (performance.now() < endAtMs) {
    const { residentBytes, unreadBytes, untakenBytes } = await machine.readMemoryUse();
    const heldBytes = residentBytes + unreadBytes;
    const toMb = (earlierMb: number, bytes: number): number =>
      Math.max(earlierMb, Math.round(bytes / BYTES_PER_MB));
    peak.heldMb = toMb(peak.heldMb, heldBytes);
    peak.totalMb = toMb(peak.totalMb, heldBytes + untakenBytes);
    peak.residentMb = toMb(peak.residentMb, residentBytes);
    peak.untakenMb = toMb(peak.untakenMb, untakenBytes);
    await sleep(SAMPLE_INTERVAL_MS);
  }
  return peak;
};

// Guards against a machine out of memory through answers that wait in the kernel for callers that don't read.
tap.test('nodes stay within their memory while callers read no answer', async (t) => {
  const runtimeOptions = await readRuntimeOptions();
  const platform = new PlatformCluster({
    controlIps: [CONTROL_IP],
    nodeIps: NODE_IPS,
    services: SERVICES,
    zones: ['zone-a'],
    machine: { isBundled: true, runtimeOptions, memoryMb: MEMORY_LIMIT_MB },
    findWorkerOptions: () => ({
      slots: SLOTS,
      writeRawAnswer: ({ path, attemptId }, socket) => writeEndless(path, attemptId, socket),
    }),
  });
  t.teardown(() => platform.stop());
  await platform.start();
  await platform.applyConfiguration(createDocument());
  await platform.waitUntilServing();

  const play = async (callers: number): Promise<void> => {
    const sockets = platform.nodes.flatMap((machine) =>
      Array.from({ length: callers }, (_, index) => {
        const service = FAULTY_SERVICES[index % FAULTY_SERVICES.length] ?? '';
        const form = FORMS[Math.floor(index / FAULTY_SERVICES.length) % FORMS.length] ?? '';
        return callUnread(machine.address('outbound'), `/${service}/${form}`);
      }),
    );
    const endAtMs = performance.now() + OBSERVED_MS;
    const statuses: number[] = [];
    const lookUp = async (outbound: string): Promise<void> => {
      while (performance.now() < endAtMs) {
        const { status } = await sendAttempt(outbound, { path: `/${SOUND_SERVICE}/1` });
        statuses.push(status);
        await sleep(LOOKUP_INTERVAL_MS);
      }
    };
    const [peaks] = await Promise.all([
      Promise.all(platform.nodes.map(observePeak)),
      ...platform.nodes.map((machine) => lookUp(machine.address('outbound'))),
    ]);
    sockets.forEach((socket) => socket.destroy());
    peaks.forEach((peak, index) => {
      const title = `${callers} callers, ${NODE_IPS[index]}`;
      t.ok(peak.heldMb < MEMORY_LIMIT_MB, `${title}: ${JSON.stringify(peak)}`);
      t.ok(peak.totalMb < UNTAKEN_LIMIT_MB, `${title}, with untaken bytes: ${peak.totalMb} MB`);
    });
    const served = statuses.filter((status) => status === 200).length;
    const title = `${callers} callers: ${served} of ${statuses.length} lookups served`;
    t.ok(served > statuses.length * MIN_SERVED_SHARE, title);
  };
  await UNREAD_CALLERS.reduce(
    (earlier, callers) => earlier.then(() => play(callers)),
    Promise.resolve(),
  );
  const lines = platform.nodes.map(({ output }) => output.includes('answer broken off'));
  t.ok(lines.includes(true), 'answers that were ended are in the log');
});
