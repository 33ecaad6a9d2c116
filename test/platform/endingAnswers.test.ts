/**
 * Bundled nodes with kept connections whose requests go to workers behind other nodes, while connections end
 * on which answers wait for callers that don't read: of a faulty worker, or of another node.
 */
import { randomUUID } from 'node:crypto';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import tap from 'tap';

import type { Socket } from 'node:net';
import type { Test } from 'tap';
import { createSeededRandom } from '../../stand-ins/createSeededRandom/index.js';
import KeepingClient, { RequestEnd } from '../../stand-ins/keepingClient/index.js';
import { PlatformCluster, createConfigurationDocument } from '../../stand-ins/platform/index.js';
import type { PlatformMachine, WorkerRun } from '../../stand-ins/platform/index.js';

const CONTROL_IP = '127.0.147.1';
/** The first node is the entry node of the kept connections. */
const NODE_IPS = ['127.0.147.2', '127.0.147.3', '127.0.147.4'];
const SERVICES = ['desk', 'ledger', 'archive'];
const CLIENTS_PER_SERVICE = 4;
/** What the platform grants a node, its resident size and what it has not read together. */
const MEMORY_LIMIT_BYTES = 350 * 1_048_576;
const SAMPLE_INTERVAL_MS = 250;
const NO_MEMORY = { residentBytes: 0, unreadBytes: 0 };
const CONNECTIONS = 128;
const DEADLINE_MS = 9_800;
const FORM_MS = 5_000;
const PART_INTERVAL_MS = 8;
const END_DELAY_MS = 400;
const SOUND_WORK_MS = 200;
const SEED = 50;
/** Time until requests reach a stopping node no more is 1.7 s. */
const STOPPING_MS = 300;
/** From then until the stopping node has closed its connections; its grace is 6 s. */
const STOPPED_MS = 6_200;
const READING_MS = 3_000;
const READ_PAUSE_MS = 15;

interface Form {
  head: string;
  /** Callers that leave their answers unread. */
  callers: number;
  partBytes: number;
  /** Whether parts are sent until the connection closes. */
  isEndless?: boolean;
  /** Ends the connection after the parts; without it, it is left open. */
  end?: (socket: Socket) => unknown;
}

const reset = (socket: Socket): unknown => socket.resetAndDestroy();

/**
 * Each caller gets one part more than the one before it. The first part that the system does not take for
 * its caller pauses the parser, so the connection of one of them ends in that moment.
 */
const FORMS: Record<string, Form> = {
  reset: { head: '', callers: 120, partBytes: 49_152, end: reset },
  'end in order': { head: '', callers: 120, partBytes: 32_768, end: (socket) => socket.end() },
  'reset within a length': {
    head: 'Connection: close\r\nContent-Length: 90000000\r\n',
    ...{ callers: 120, partBytes: 49_152, end: reset },
  },
  'no end': { head: '', callers: 32, partBytes: 16_384, isEndless: true },
};

/** Answers that are still on their way when a node that they pass stops. */
const OPEN_FORM = 'left open';
const ALL_FORMS: Record<string, Form> = {
  ...FORMS,
  [OPEN_FORM]: { head: 'Content-Length: 90000000\r\n', callers: 60, partBytes: 98_304 },
};

/** The path names the form and the number of parts. */
const readForm = (path: string): { form: Form | undefined; parts: number } => {
  const [name = '', parts] = path.split('/').slice(-2);
  return { form: ALL_FORMS[decodeURIComponent(name)], parts: Number(parts) };
};

const writeParts = async (form: Form, parts: number, socket: Socket): Promise<void> => {
  const { partBytes, isEndless = false, end } = form;
  const part = 'x'.repeat(partBytes);
  for (let written = 0; (isEndless || written < parts) && !socket.destroyed; written += 1) {
    const isTaken = socket.write(part);
    if (isEndless && !isTaken) {
      await new Promise((resolve) => {
        socket.once('drain', resolve).once('close', resolve);
      });
    }
    await sleep(isEndless ? 0 : PART_INTERVAL_MS);
  }
  await sleep(END_DELAY_MS);
  end?.(socket);
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
    `GET /${path} HTTP/1.1`,
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
    const { residentBytes, unreadBytes } = await machine.readMemoryUse().catch(() => NO_MEMORY);
    // A process that has just ended has no resident size.
    if (Number.isFinite(residentBytes))
      largestBytes = Math.max(largestBytes, residentBytes + unreadBytes);
    await sleep(SAMPLE_INTERVAL_MS);
  }
  return largestBytes;
};

const callAllUnread = (outbound: string, service: string, name: string): Socket[] =>
  Array.from({ length: ALL_FORMS[name]?.callers ?? 0 }, (_, index) =>
    callUnread(outbound, `${service}/${encodeURIComponent(name)}/${index}`),
  );

/** Reads on, with a pause after each part. */
const readSlowly = (socket: Socket): void => {
  socket.on('data', () => {
    socket.pause();
    setTimeout(() => socket.resume(), READ_PAUSE_MS);
  });
  socket.resume();
};

const startPlatform = async (t: Test): Promise<PlatformCluster> => {
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
  return platform;
};

/** Plays faults while clients with kept connections use the first node, and checks what came of both. */
const checkKept = async (
  t: Test,
  platform: PlatformCluster,
  { services, play }: { services: string[]; play: (address: string) => Promise<void> },
): Promise<void> => {
  let isOver = false;
  const address = platform.nodes[0]?.address('outbound') ?? '';
  const random = createSeededRandom(SEED);
  const clients = services.flatMap((service) =>
    Array.from(
      { length: CLIENTS_PER_SERVICE },
      (_, index) => new KeepingClient({ address, service, name: `${service}-${index}`, random }),
    ),
  );
  const runs = clients.map((client) => client.run(() => isOver));
  const watches = platform.nodes.map((machine) => watchMemory(machine, () => isOver));
  await play(address);
  isOver = true;
  await Promise.all(runs);

  const sent = clients.flatMap((client) => client.sent);
  const countEnds = (end: RequestEnd): number => sent.filter((kept) => kept.end === end).length;
  const served = sent.filter(({ statusCode }) => statusCode === 200).length;
  t.comment(`${sent.length} kept requests, ${served} served`);
  t.ok(served > 0);
  t.equal(countEnds(RequestEnd.Unanswered), 0, 'kept requests without an answer');
  t.equal(countEnds(RequestEnd.GivenUp), 0, 'kept requests past their deadline');
  t.equal(served, countEnds(RequestEnd.Answered), `${served} kept requests served`);
  const unasked = clients.flatMap((client) => client.unasked);
  t.same(unasked, [], 'answers without a request');
  const largestBytes = await Promise.all(watches);
  largestBytes.forEach((bytes, index) =>
    t.ok(
      bytes < MEMORY_LIMIT_BYTES,
      `${NODE_IPS[index]}: ${Math.round(bytes / 1_048_576)} MB resident and unread`,
    ),
  );
};

// Guards against an entry node that ends by itself, with the requests of all kept connections on it, because
// of how the connection of one faulty worker ends while a caller does not read (an incident).
tap.test('an entry node outlives a faulty worker', { timeout: 90_000 }, async (t) => {
  const platform = await startPlatform(t);
  const [faulty = '', ...services] = SERVICES;
  const playForm = async (address: string, name: string): Promise<void> => {
    const sockets = callAllUnread(address, faulty, name);
    await sleep(FORM_MS);
    sockets.forEach((socket) => socket.destroy());
    const ends = [...platform.nodes, ...platform.controls].map(({ ownEnd }) => ownEnd);
    t.same(ends.filter(Boolean), [], `${name}: no process ended by itself`);
  };
  const play = (address: string): Promise<void> =>
    Object.keys(FORMS).reduce(
      (earlier, name) => earlier.then(() => playForm(address, name)),
      Promise.resolve(),
    );
  await checkKept(t, platform, { services, play });
});

// Guards against the same because another node stops as planned, which closes the connections on which it
// sends answers that the callers of the entry node read slowly.
tap.test('an entry node outlives the stop of another node', { timeout: 90_000 }, async (t) => {
  const platform = await startPlatform(t);
  const [, stopped, ...others] = platform.nodes;
  const [, passed = '', ...services] = SERVICES;
  const play = async (address: string): Promise<void> => {
    stopped?.signal('SIGTERM');
    await sleep(STOPPING_MS);
    const sockets = callAllUnread(address, passed, OPEN_FORM);
    await sleep(STOPPED_MS);
    t.same(stopped?.ownEnd, { code: 0, signal: null }, 'the other node has stopped');
    sockets.forEach(readSlowly);
    await sleep(READING_MS);
    sockets.forEach((socket) => socket.destroy());
  };
  await checkKept(t, platform, { services, play });
  const running = [platform.nodes[0], ...others, ...platform.controls];
  const ends = running.map((machine) => machine?.ownEnd);
  t.same(ends.filter(Boolean), [], 'no process ended by itself');
});
