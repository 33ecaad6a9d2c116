/** One seeded run of the platform programs beside workers and callers that send bytes without end. */
import { setTimeout as sleep } from 'node:timers/promises';

import type { Socket } from 'node:net';
import {
  PlatformCluster,
  createConfigurationDocument,
  readRuntimeOptions,
} from '../../stand-ins/platform/index.js';
import type { PlatformMachine, PlatformWorker, WorkerRun } from '../../stand-ins/platform/index.js';
import { createSeededRandom, drawInteger } from '../../stand-ins/createSeededRandom/index.js';
import type { Random } from '../../stand-ins/createSeededRandom/index.js';
import KeepingClient, { RequestEnd } from '../../stand-ins/keepingClient/index.js';
import type { KeptRequest } from '../../stand-ins/keepingClient/index.js';
import DelayWatch from '../_lib/DelayWatch.js';
import FloodingCaller from './FloodingCaller.js';
import { drawAnswerFlood } from './drawFlood.js';
import writeFlood from './writeFlood.js';

/** Loopback network of the run, so that several processes can run the soak at the same time. */
const NETWORK = `127.${100 + (process.pid % 100)}`;
const CONTROL_IP = `${NETWORK}.89.1`;
/** Each has a worker beside two nodes, so that one serves while the other's node is restarted. */
const SERVICES = ['desk', 'stock', 'ledger'];
const NODES = 2 * SERVICES.length;
const MAX_FAULTY = 2;
const SLOTS = 64;
const SOUND_WORK_MS = 20;
const CLIENTS_PER_SERVICE = 2;
/** `memory_mb` of the smallest machine on which a node runs. */
const MEMORY_LIMIT_MB = 250;
const BYTES_PER_MB = 1_048_576;
const SAMPLE_INTERVAL_MS = 100;
const MAX_SEED = 1_000_000;
const STOP_SHARE = 0.5;
const HTTP_OK = 200;
/** Of the requests for sound workers at nodes that are not restarted. */
const MIN_SERVED_SHARE = 0.99;
const MAX_EVIDENCE_LINES = 10;

export interface FloodSoakOptions {
  seed: number;
  durationMs: number;
  /** Callers of the faulty workers at each node. */
  callers: number;
  print?: (line: string) => void;
}

export interface FloodSoakReport {
  seed: number;
  /** Number of services whose workers are faulty. */
  faultyServices: number;
  /** Connections of callers of the faulty workers. */
  connections: number;
  floodedMb: number;
  /** Requests of kept connections to sound workers. */
  requests: number;
  /** Number of these by how they ended for their client. */
  ends: Partial<Record<string, number>>;
  /** Largest memory of each node, resident and unread, and with what peers have not taken. */
  heldMb: number[];
  totalMb: number[];
  /** Longest time for which this process itself was late. */
  ownDelayMs: number;
  /** Violated guarantees; empty if the run passed. */
  violations: string[];
  /** Last lines of the processes that ended by themselves. */
  evidence: string[];
}

interface Peak {
  heldMb: number;
  totalMb: number;
}

const watchMemory = async (machine: PlatformMachine, isOver: () => boolean): Promise<Peak> => {
  const peak = { heldMb: 0, totalMb: 0 };
  while (!isOver()) {
    // The process may be starting again.
    const use = await machine.readMemoryUse().catch(() => undefined);
    if (use && Number.isFinite(use.residentBytes)) {
      const heldBytes = use.residentBytes + use.unreadBytes;
      peak.heldMb = Math.max(peak.heldMb, Math.round(heldBytes / BYTES_PER_MB));
      const totalMb = Math.round((heldBytes + use.untakenBytes) / BYTES_PER_MB);
      peak.totalMb = Math.max(peak.totalMb, totalMb);
    }
    await sleep(SAMPLE_INTERVAL_MS);
  }
  return peak;
};

/** Stops a node as planned and starts it again, in some of the runs; returns that node. */
const restartNode = async (
  { nodes }: PlatformCluster,
  random: Random,
  { durationMs, print = () => undefined }: FloodSoakOptions,
): Promise<PlatformMachine | undefined> => {
  const node = nodes[drawInteger(random, 0, nodes.length - 1)];
  await sleep(drawInteger(random, 0, durationMs / 2));
  if (!node || random() >= STOP_SHARE) return undefined;
  print(`${Math.round(performance.now())} ms: stop of ${node.ip}`);
  await node.stop();
  await node.start({ isFirstStart: false });
  return node;
};

const findViolations = (clients: KeepingClient[], workers: PlatformWorker[]): string[] => {
  const sent = clients.flatMap((client) => client.sent);
  const runs = new Set(workers.flatMap((worker) => worker.runs.map(({ attemptId }) => attemptId)));
  const describe = (fault: string, request: KeptRequest): string =>
    `${fault}: ${JSON.stringify(request)}`;
  return [
    ...sent
      .filter(({ end, attemptId }) => end === RequestEnd.Unanswered && runs.has(attemptId))
      .map((request) => describe('no whole answer to a kept request that ran', request)),
    ...sent
      .filter(({ end }) => end === RequestEnd.GivenUp)
      .map((request) => describe('no answer on an open connection', request)),
    ...sent
      .filter(({ statusCode }) => statusCode === HTTP_OK)
      .filter(({ attemptId, response }) => !response?.head.includes(attemptId))
      .map((request) => describe('an answer of another request', request)),
    ...clients.flatMap(({ unasked }) => unasked.map(({ head }) => `an answer unasked: ${head}`)),
  ];
};

/** Requests at nodes that were not restarted are served. */
const findUnserved = (clients: KeepingClient[]): string[] => {
  const sent = clients.flatMap((client) => client.sent);
  const served = sent.filter(({ statusCode }) => statusCode === HTTP_OK).length;
  const isEnough = served >= sent.length * MIN_SERVED_SHARE;
  return isEnough ? [] : [`${served} of ${sent.length} kept requests served`];
};

const findProcessFaults = (
  machines: PlatformMachine[],
): { violations: string[]; evidence: string[] } => {
  const ended = machines.filter(({ ownEnd }) => ownEnd !== undefined);
  return {
    violations: ended.map(({ ip, ownEnd }) => `${ip} ended by itself: ${JSON.stringify(ownEnd)}`),
    evidence: ended.flatMap(({ output }) => output.split('\n').slice(-MAX_EVIDENCE_LINES)),
  };
};

const countEnds = (sent: KeptRequest[]): Partial<Record<string, number>> => {
  const counts: Partial<Record<string, number>> = {};
  sent.forEach(({ end, statusCode }) => {
    const name = `${end} ${statusCode ?? ''}`.trim();
    counts[name] = (counts[name] ?? 0) + 1;
  });
  return counts;
};

/**
 * Runs the platform programs while some workers answer with bytes without end, and callers of theirs
 * read all, little or nothing, leave, or send bytes without end themselves.
 *
 * Checks that no process ends by itself, that each node stays within the memory of its machine, and that
 * the requests on kept connections to the other workers are answered.
 *
 * @param options - seed, duration and number of callers
 * @returns counts and violations; all processes have ended by then
 */
const runFloods = async (options: FloodSoakOptions): Promise<FloodSoakReport> => {
  const { seed, durationMs, callers: callersPerNode } = options;
  const random = createSeededRandom(seed);
  const createOwnRandom = (): Random => createSeededRandom(drawInteger(random, 1, MAX_SEED));
  const faultyServices = drawInteger(random, 1, MAX_FAULTY);
  const workerRandom = createOwnRandom();
  let floodedBytes = 0;
  const answer = ({ path, attemptId }: WorkerRun, socket: Socket): boolean => {
    if (!path.endsWith('/flood')) return false;
    writeFlood(socket, drawAnswerFlood(workerRandom, attemptId)).then(
      (writtenBytes) => {
        floodedBytes += writtenBytes;
      },
      () => undefined,
    );
    return true;
  };
  const runtimeOptions = await readRuntimeOptions();
  const platform = new PlatformCluster({
    controlIps: [CONTROL_IP],
    nodeIps: Array.from({ length: NODES }, (_, index) => `${NETWORK}.90.${index + 1}`),
    ...{ services: SERVICES, zones: ['zone-a'], machine: { isBundled: true } },
    node: { runtimeOptions, memoryMb: MEMORY_LIMIT_MB },
    findWorkerOptions: () => ({ slots: SLOTS, workMs: SOUND_WORK_MS, writeRawAnswer: answer }),
  });
  let isOver = false;
  const checkOver = (): boolean => isOver;
  try {
    await platform.start();
    const document = createConfigurationDocument(1, 0, SERVICES);
    const routes = document.routes.map((route) => ({ ...route, timeout: '10s' }));
    await platform.applyConfiguration({ ...document, routes });
    await platform.waitUntilServing();
    const [addresses, faulty, sound] = [
      platform.nodes.map((node) => node.address('outbound')),
      SERVICES.slice(0, faultyServices),
      SERVICES.slice(faultyServices),
    ];
    const clientsByNode = addresses.map((address, node) =>
      sound.flatMap((service) =>
        Array.from({ length: CLIENTS_PER_SERVICE }, (_, index) => {
          const name = `${seed}-${node}-${service}-${index}`;
          return new KeepingClient({ address, service, name, random: createOwnRandom() });
        }),
      ),
    );
    const clients = clientsByNode.flat();
    const callers = addresses.flatMap((address, node) =>
      Array.from({ length: callersPerNode }, (_, index) => {
        const name = `${seed}-${node}-flood-${index}`;
        return new FloodingCaller({ address, services: faulty, name, random: createOwnRandom() });
      }),
    );
    const running = [...clients, ...callers].map((client) => client.run(checkOver));
    const watching = platform.nodes.map((node) => watchMemory(node, checkOver));
    const delays = new DelayWatch([]);
    const watchingDelays = delays.run(checkOver);
    const [restarted] = await Promise.all([
      restartNode(platform, random, options),
      sleep(durationMs),
    ]);
    isOver = true;
    await Promise.all(running);
    const peaks = await Promise.all(watching);
    await watchingDelays;
    const sent = clients.flatMap((client) => client.sent);
    const ends = findProcessFaults([...platform.nodes, ...platform.controls]);
    const beyond = peaks.flatMap(({ heldMb }, index) =>
      heldMb > MEMORY_LIMIT_MB ? [`${platform.nodes[index]?.ip}: ${heldMb} MB`] : [],
    );
    return {
      ...{ seed, faultyServices, floodedMb: Math.round(floodedBytes / BYTES_PER_MB) },
      connections: callers.reduce((sum, { connections }) => sum + connections, 0),
      ...{ requests: sent.length, ends: countEnds(sent), ownDelayMs: delays.largestOwnDelayMs },
      heldMb: peaks.map(({ heldMb }) => heldMb),
      totalMb: peaks.map(({ totalMb }) => totalMb),
      violations: [
        ...[...ends.violations, ...beyond, ...findViolations(clients, platform.workers)],
        ...findUnserved(
          clientsByNode.filter((_, index) => platform.nodes[index] !== restarted).flat(),
        ),
      ],
      evidence: ends.evidence,
    };
  } finally {
    isOver = true;
    await platform.stop();
  }
};

export default runFloods;
