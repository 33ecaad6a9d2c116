/** One seeded run of the platform programs with planned work in series and overlapping. */
import { setTimeout as sleep } from 'node:timers/promises';

import { PlatformCluster, createConfigurationDocument } from '../../stand-ins/platform/index.js';
import type { PlatformMachine, PlatformWorker } from '../../stand-ins/platform/index.js';
import { createSeededRandom, drawInteger } from '../../stand-ins/createSeededRandom/index.js';
import type { Random } from '../../stand-ins/createSeededRandom/index.js';
import KeepingClient, { RequestEnd } from '../../stand-ins/keepingClient/index.js';
import type { KeptRequest } from '../../stand-ins/keepingClient/index.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'];
/** Loopback network of the run, so that several processes can run the soak at the same time. */
const NETWORK = `127.${100 + (process.pid % 100)}`;
const CONTROL_IPS = ZONES.map((_, index) => `${NETWORK}.79.${index + 1}`);
const SERVICES = ['desk', 'ledger'];
/** Execution times of the workers, which take turns. */
const WORK_MS = [20, 150, 400];
const CLIENTS_PER_NODE = 3;
const MAX_EVIDENCE_LINES = 10;
const MAX_EVENT_GAP_MS = 1_500;
const REFUSED_STATUSES = new Set([408, 421, 429, 503]);

enum PlannedWork {
  Stop = 'STOP',
  Hangup = 'HANGUP',
  Change = 'CHANGE',
}

const KINDS = [PlannedWork.Stop, PlannedWork.Stop, PlannedWork.Hangup, PlannedWork.Change];

export interface StopSoakOptions {
  seed: number;
  durationMs: number;
  /** Number of nodes, each with a worker. */
  nodes: number;
  print?: (line: string) => void;
}

export interface StopSoakReport {
  seed: number;
  work: Partial<Record<PlannedWork, number>>;
  requests: number;
  /** Number of requests by how they ended for their client. */
  ends: Partial<Record<string, number>>;
  /** Violated guarantees; empty if the run passed. */
  violations: string[];
  /** Log lines that name the requests of the violations, and what is no log line. */
  evidence: string[];
}

const createPlatform = ({ nodes: count }: StopSoakOptions): PlatformCluster =>
  new PlatformCluster({
    controlIps: CONTROL_IPS,
    nodeIps: Array.from({ length: count }, (_, index) => `${NETWORK}.80.${index + 1}`),
    services: SERVICES,
    zones: ZONES,
    machine: { isBundled: true },
    findWorkerOptions: (index) => ({ workMs: WORK_MS[index % WORK_MS.length] ?? 0 }),
  });

/** Sends changes until one is acknowledged; versions rise with each call. */
class Operator {
  readonly #platform: PlatformCluster;

  #version = 0;

  constructor(platform: PlatformCluster) {
    this.#platform = platform;
  }

  async change(): Promise<void> {
    const base = this.#version;
    this.#version += 1;
    await this.#platform.applyConfiguration(
      createConfigurationDocument(this.#version, base, SERVICES),
    );
  }
}

/** Does planned work, of which several pieces may be in progress, but one at most on a node. */
const doPlannedWork = async (
  platform: PlatformCluster,
  random: Random,
  { durationMs, print = () => undefined }: StopSoakOptions,
  operator: Operator,
): Promise<StopSoakReport['work']> => {
  const done: StopSoakReport['work'] = {};
  const busy = new Set<PlatformMachine>();
  const starting = new Set<PlatformMachine>();
  const inProgress: Promise<void>[] = [];
  const startedAtMs = performance.now();
  const restart = async (node: PlatformMachine): Promise<void> => {
    busy.add(node);
    await node.stop();
    starting.add(node);
    await node.start({ isFirstStart: false });
    busy.delete(node);
    // Node.js ends on a SIGHUP until the program is loaded; on the platform it is then started again.
    await node.waitUntilLoaded();
    starting.delete(node);
  };
  let lastChange = Promise.resolve();
  const canBegin = (kind: PlannedWork, node: PlatformMachine): boolean => {
    if (kind === PlannedWork.Change) return true;
    if (kind === PlannedWork.Hangup) return !starting.has(node);
    return busy.size < platform.nodes.length / 3 && !busy.has(node);
  };
  const begin = async (kind: PlannedWork, node: PlatformMachine): Promise<void> => {
    if (kind === PlannedWork.Change) {
      lastChange = lastChange.then(() => operator.change());
      await lastChange;
    } else if (kind === PlannedWork.Hangup) node.signal('SIGHUP');
    else await restart(node);
  };
  while (performance.now() < startedAtMs + durationMs) {
    const kind = KINDS[drawInteger(random, 0, KINDS.length - 1)] ?? PlannedWork.Change;
    const node = platform.nodes[drawInteger(random, 0, platform.nodes.length - 1)];
    if (node && canBegin(kind, node)) {
      inProgress.push(begin(kind, node));
      done[kind] = (done[kind] ?? 0) + 1;
      print(`${Math.round(performance.now())} ms: ${kind} ${node.ip}`);
    }
    await sleep(drawInteger(random, 0, MAX_EVENT_GAP_MS));
  }
  await Promise.all(inProgress);
  return done;
};

const findViolations = (sent: KeptRequest[], workers: PlatformWorker[]): string[] => {
  const runs = new Map<string, number>();
  workers.forEach((worker) =>
    worker.runs.forEach(({ attemptId }) => runs.set(attemptId, (runs.get(attemptId) ?? 0) + 1)),
  );
  return sent.flatMap((request) => {
    const count = runs.get(request.attemptId) ?? 0;
    const isRefused = REFUSED_STATUSES.has(request.statusCode ?? 0);
    const describe = (fault: string): string => `${fault}: ${JSON.stringify(request)}`;
    return [
      ...(request.isOrder && count > 1 ? [describe('an order ran twice')] : []),
      ...(request.isOrder && count > 0 && isRefused ? [describe('a refused order ran')] : []),
      ...(request.end === RequestEnd.GivenUp ? [describe('no answer on an open connection')] : []),
      ...(count > 0 && request.end === RequestEnd.Unanswered
        ? [describe('no whole answer to a request that ran')]
        : []),
      ...(request.isOrder && count > 0 && request.end === RequestEnd.BehindClose
        ? [describe('an order behind a closing response ran')]
        : []),
    ];
  });
};

const findEvidence = (violations: string[], machines: PlatformMachine[]): string[] => {
  if (violations.length === 0) return [];
  const ids = violations.map((text) => /"attemptId":"([^"]+)"/.exec(text)?.[1] ?? '');
  return machines.flatMap(({ ip, output }) =>
    output
      .split('\n')
      .filter((line) => line !== '')
      .filter((line) => !line.startsWith('{') || ids.some((id) => line.includes(`"${id}"`)))
      .slice(0, MAX_EVIDENCE_LINES)
      .map((line) => `${ip}: ${line}`),
  );
};

/**
 * Runs the platform programs while clients keep their connections and use them until they are closed,
 * and nodes are stopped, started, reloaded and reconfigured.
 *
 * Checks that each request that a worker ran is answered, that no order runs twice, and that what
 * counts as not received or not run has not run.
 *
 * @param options - seed, duration and number of nodes
 * @returns counts and violations; all processes have ended by then
 */
const runStops = async (options: StopSoakOptions): Promise<StopSoakReport> => {
  const { seed } = options;
  const random = createSeededRandom(seed);
  const platform = createPlatform(options);
  const { controls, nodes, workers } = platform;
  const ending = { isOver: false };
  try {
    await platform.start();
    const operator = new Operator(platform);
    await operator.change();
    await platform.waitUntilServing();
    const clients = nodes.flatMap((node, nodeIndex) =>
      Array.from({ length: CLIENTS_PER_NODE }, (_, index) => {
        const service = SERVICES[index % SERVICES.length] ?? '';
        const name = `${seed}-${nodeIndex}-${index}`;
        const address = node.address('outbound');
        // Each client draws from a sequence of its own, so that their turns do not mix the sequences.
        const own = createSeededRandom(drawInteger(random, 1, 1_000_000));
        return new KeepingClient({ address, service, name, random: own });
      }),
    );
    const running = clients.map((client) => client.run(() => ending.isOver));
    const work = await doPlannedWork(platform, random, options, operator);
    await platform.waitUntilServing();
    ending.isOver = true;
    await Promise.all(running);
    const sent = clients.flatMap((client) => client.sent);
    const ends: StopSoakReport['ends'] = {};
    sent.forEach(({ end, statusCode }) => {
      const label = statusCode === undefined ? end : `${end} ${statusCode}`;
      ends[label] = (ends[label] ?? 0) + 1;
    });
    const violations = findViolations(sent, workers);
    const evidence = findEvidence(violations, [...controls, ...nodes]);
    return { seed, work, requests: sent.length, ends, violations, evidence };
  } catch (error) {
    // A program that ended wrote its reason outside of its log.
    const written = [...controls, ...nodes].flatMap(({ ip, output }) =>
      output
        .split('\n')
        .filter((line) => line !== '' && !line.startsWith('{'))
        .map((line) => `${ip}: ${line}`),
    );
    throw new Error([String(error), ...written.slice(-MAX_EVIDENCE_LINES)].join('\n'));
  } finally {
    ending.isOver = true;
    await platform.stop();
  }
};

export default runStops;
