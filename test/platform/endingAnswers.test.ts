/**
 * Bundled nodes with kept connections whose requests go to workers behind other nodes, while a faulty worker
 * beside the entry node floods callers that don't read, and ends its connections.
 */
import { randomUUID } from 'node:crypto';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import tap from 'tap';

import type { Socket } from 'node:net';
import { createSeededRandom } from '../../stand-ins/createSeededRandom/index.js';
import KeepingClient, { RequestEnd } from '../../stand-ins/keepingClient/index.js';
import { PlatformCluster, createConfigurationDocument } from '../../stand-ins/platform/index.js';
import type { PlatformMachine, WorkerRun } from '../../stand-ins/platform/index.js';

const CONTROL_IP = '127.0.147.1';
/** The faulty worker is beside the first node, which is the entry node of the kept connections. */
const NODE_IPS = ['127.0.147.2', '127.0.147.3', '127.0.147.4'];
const SERVICES = ['desk', 'ledger', 'archive'];
const [FAULTY_SERVICE = '', ...SOUND_SERVICES] = SERVICES;
const CLIENTS_PER_SERVICE = 4;
/** What the platform grants a node, its resident size and what it has not read together. */
const MEMORY_LIMIT_BYTES = 350 * 1_048_576;
const SAMPLE_INTERVAL_MS = 250;
/** Callers per form that leave their answers unread. */
const CALLERS = 120;
const CONNECTIONS = 128;
const DEADLINE_MS = 6_000;
const FORM_MS = 5_000;
const PART_INTERVAL_MS = 8;
const END_DELAY_MS = 400;
const SOUND_WORK_MS = 200;
const SEED = 50;

interface Form {
  head: string;
  partBytes: number;
  /** Ends the connection after some parts; without it, the parts don't end. */
  end?: (socket: Socket) => unknown;
}

const reset = (socket: Socket): unknown => socket.resetAndDestroy();

/**
 * Each caller gets one part more than the one before it. The first part that the system does not take for
 * its caller pauses the parser, so the connection of one of them ends in that moment.
 */
const FORMS: Record<string, Form> = {
  reset: { head: '', partBytes: 49_152, end: reset },
  'end in order': { head: '', partBytes: 32_768, end: (socket) => socket.end() },
  'reset within a length': {
    ...{ head: 'Connection: close\r\nContent-Length: 90000000\r\n', partBytes: 49_152 },
    end: reset,
  },
  'no end': { head: '', partBytes: 16_384 },
};

/** The path names the form and the number of parts. */
const readForm = (path: string): { form: Form | undefined; parts: number } => {
  const [name = '', parts] = path.split('/').slice(-2);
  return { form: FORMS[decodeURIComponent(name)], parts: Number(parts) };
};

const writeParts = async (form: Form, parts: number, socket: Socket): Promise<void> => {
  const part = 'x'.repeat(form.partBytes);
  const isDone = (written: number): boolean => form.end !== undefined && written >= parts;
  for (let written = 0; !isDone(written) && !socket.destroyed; written += 1) {
    const isTaken = socket.write(part);
    if (!isTaken && !form.end)
      await new Promise((resolve) => {
        socket.once('drain', resolve).once('close', resolve);
      });
    await sleep(form.end ? PART_INTERVAL_MS : 0);
  }
  await sleep(END_DELAY_MS);
  form.end?.(socket);
};

const writeFaulty = ({ path, attemptId }: WorkerRun, socket: Socket): boolean => {
  const { form, parts } = readForm(path);
  if (!form) return false;
  socket.on('error', () => undefined);
  socket.write(
    `HTTP/1.1 200 OK\r\nAttempt-Id: ${attemptId}\r\nServer-Stamp: s\r\n${form.head}\r\n`,
  );
  writeParts(form, parts, socket).catch(() => undefined);
  return true;
};

/** Sends a lookup whose answer stays unread. */
const callUnread = (outbound: string, path: string): Socket => {
  const [host = '', port] = outbound.split(':');
  const socket = connect(Number(port), host).pause();
  socket.on('error', () => undefined);
  const head = [
    `GET /${FAULTY_SERVICE}/${path} HTTP/1.1`,
    ...['Host: shop.example', `Attempt-Id: ${randomUUID()}`, `Deadline-Remaining: ${DEADLINE_MS}`],
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  return socket;
};

const createDocument = (): object => {
  const document = createConfigurationDocument(1, 0, SERVICES);
  const routes = document.routes.map((route) => ({ ...route, timeout: '10s' }));
  const services = document.services.map((service) => ({
    ...service,
    max_connections: CONNECTIONS,
  }));
  return { ...document, routes, services };
};

/** Samples what the platform counts of a node until the end; returns the largest sum. */
const watchMemory = async (machine: PlatformMachine, isOver: () => boolean): Promise<number> => {
  let largestBytes = 0;
  while (!isOver() && machine.ownEnd === undefined) {
    const [residentBytes, unreadBytes] = await Promise.all([
      machine.readResidentBytes(),
      machine.readUnreadBytes(),
    ]).catch(() => [0, 0] as const);
    largestBytes = Math.max(largestBytes, residentBytes + unreadBytes);
    await sleep(SAMPLE_INTERVAL_MS);
  }
  return largestBytes;
};

// Guards against an entry node that ends by itself, with the requests of all kept connections on it, because
// of how the connection of one faulty worker ends while a caller does not read (an incident).
tap.test(
  'an entry node outlives the answers of a faulty worker',
  { timeout: 90_000 },
  async (t) => {
    const platform = new PlatformCluster({
      controlIps: [CONTROL_IP],
      nodeIps: NODE_IPS,
      services: SERVICES,
      zones: ['zone-a'],
      machine: { isBundled: true },
      findWorkerOptions: (index) => ({
        slots: CONNECTIONS,
        workMs: index === 0 ? 0 : SOUND_WORK_MS,
        writeRawAnswer: writeFaulty,
      }),
    });
    t.teardown(() => platform.stop());
    await platform.start();
    await platform.applyConfiguration(createDocument());
    await platform.waitUntilServing();

    let isOver = false;
    const address = platform.nodes[0]?.address('outbound') ?? '';
    const random = createSeededRandom(SEED);
    const clients = SOUND_SERVICES.flatMap((service) =>
      Array.from(
        { length: CLIENTS_PER_SERVICE },
        (_, index) => new KeepingClient({ address, service, name: `${service}-${index}`, random }),
      ),
    );
    const runs = clients.map((client) => client.run(() => isOver));
    const watches = platform.nodes.map((machine) => watchMemory(machine, () => isOver));
    const play = async (name: string): Promise<void> => {
      const sockets = Array.from({ length: CALLERS }, (_, index) =>
        callUnread(address, `${encodeURIComponent(name)}/${index}`),
      );
      await sleep(FORM_MS);
      sockets.forEach((socket) => socket.destroy());
      const ends = [...platform.nodes, ...platform.controls].map(({ ownEnd }) => ownEnd);
      t.same(ends.filter(Boolean), [], `${name}: no process ended by itself`);
    };
    await Object.keys(FORMS).reduce(
      (earlier, name) => earlier.then(() => play(name)),
      Promise.resolve(),
    );
    isOver = true;
    await Promise.all(runs);

    const sent = clients.flatMap((client) => client.sent);
    const countEnds = (end: RequestEnd): number => sent.filter((kept) => kept.end === end).length;
    const served = sent.filter(({ statusCode }) => statusCode === 200).length;
    t.comment(`${sent.length} kept requests, ${served} served`);
    t.equal(countEnds(RequestEnd.Unanswered), 0, 'kept requests without an answer');
    t.equal(countEnds(RequestEnd.GivenUp), 0, 'kept requests past their deadline');
    t.equal(served, countEnds(RequestEnd.Answered), `${served} kept requests served`);
    t.same(
      clients.flatMap((client) => client.unasked),
      [],
    );
    const largestBytes = await Promise.all(watches);
    largestBytes.forEach((bytes, index) =>
      t.ok(
        bytes < MEMORY_LIMIT_BYTES,
        `${NODE_IPS[index]}: ${Math.round(bytes / 1_048_576)} MB resident and unread`,
      ),
    );
  },
);
