/** One seeded run of the platform programs with planned work in series and overlapping. */
import { PlatformCluster } from '../../stand-ins/platform/index.js';
import type { PlatformMachine } from '../../stand-ins/platform/index.js';
import { createSeededRandom, drawInteger } from '../../stand-ins/createSeededRandom/index.js';
import KeepingClient from '../../stand-ins/keepingClient/index.js';
import type { KeptRequest } from '../../stand-ins/keepingClient/index.js';
import DelayWatch from '../_lib/DelayWatch.js';
import doPlannedWork from './doPlannedWork.js';
import type { DoneWork } from './doPlannedWork.js';
import findViolations, { FAILED_STATUSES } from './findViolations.js';
import Operator from './Operator.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'];
/** Loopback network of the run, so that several processes can run the soak at the same time. */
const NETWORK = `127.${100 + (process.pid % 100)}`;
const CONTROL_IPS = ZONES.map((_, index) => `${NETWORK}.79.${index + 1}`);
const SERVICES = ['desk', 'ledger'];
/** Execution times of the workers, which take turns. */
const WORK_MS = [20, 150, 400];
/** The same where the workers have few slots, so that they are not full all the time. */
const BOUNDED_WORK_MS = [20, 60, 150];
const QUEUE_LENGTH = 4;
const CLIENTS_PER_NODE = 3;
/** More requests are in progress when a node stops or another one is slowed. */
const DISRUPTED_CLIENTS_PER_NODE = 6;
const LEAVE_SHARE = 0.1;
const MAX_EVIDENCE_LINES = 10;

export interface StopSoakOptions {
  seed: number;
  durationMs: number;
  /** Number of nodes, each with a worker. */
  nodes: number;
  /**
   * Whether nodes are slowed and workers, which have few slots, are filled beside the planned work. Some
   * clients then leave before they are answered.
   */
  isDisrupted?: boolean;
  print?: (line: string) => void;
}

export interface StopSoakReport {
  seed: number;
  work: DoneWork['counts'];
  requests: number;
  /** Number of requests by how they ended for their client. */
  ends: Partial<Record<string, number>>;
  /** Number of failures of the nodes' own, by status and message. */
  failures: Partial<Record<string, number>>;
  /** Failures in place of a worker's answer at nodes that did not stop, which no rule counts. */
  failuresBesideStops: number;
  /** Longest time for which this process itself was late. */
  ownDelayMs: number;
  /** How long each node could run and got no processor. */
  nodeWaitsMs: number[];
  /** Violated guarantees; empty if the run passed. */
  violations: string[];
  /** Log lines that name the requests of the violations, and what is no log line. */
  evidence: string[];
}

const createPlatform = ({ nodes: count, isDisrupted }: StopSoakOptions): PlatformCluster => {
  const workMs = isDisrupted ? BOUNDED_WORK_MS : WORK_MS;
  return new PlatformCluster({
    controlIps: CONTROL_IPS,
    nodeIps: Array.from({ length: count }, (_, index) => `${NETWORK}.80.${index + 1}`),
    services: SERVICES,
    zones: ZONES,
    machine: { isBundled: true },
    findWorkerOptions: (index) => ({
      workMs: workMs[index % workMs.length] ?? 0,
      ...(isDisrupted && { queueLength: QUEUE_LENGTH }),
    }),
  });
};

const countEach = (labels: string[]): Partial<Record<string, number>> => {
  const counts: Partial<Record<string, number>> = {};
  labels.forEach((label) => {
    counts[label] = (counts[label] ?? 0) + 1;
  });
  return counts;
};

/** Returns the status and message of a failure; undefined for another answer, or none. */
const describeFailure = ({ statusCode, response }: KeptRequest): string | undefined => {
  if (statusCode === undefined || !FAILED_STATUSES.has(statusCode)) return undefined;
  const message = /"message":"([^"]*)"/.exec(response?.framedBody ?? '')?.[1] ?? '';
  return `${statusCode} ${message}`.trim();
};

const describeSpans = ({ stops, slowdowns }: DoneWork): string[] => [
  `0 ms is ${Math.round(performance.timeOrigin)} in the logs`,
  ...[...stops, ...slowdowns].map(
    ({ kind, node, fromMs, toMs }) =>
      `${kind} of node ${node} from ${Math.round(fromMs)} to ${Math.round(toMs)} ms`,
  ),
];

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
 * and nodes are stopped, started, reloaded and reconfigured, beside disruptions if asked for.
 *
 * Checks that each request that a worker ran is answered, and not with a failure of a stopping node; that no
 * order runs twice, and no lookup at more workers than it may; that what counts as not received or not run
 * has not run; and that nothing runs long after its client left.
 *
 * @param options - seed, duration and number of nodes
 * @returns counts and violations; all processes have ended by then
 */
const runStops = async (options: StopSoakOptions): Promise<StopSoakReport> => {
  const { seed, isDisrupted = false } = options;
  const random = createSeededRandom(seed);
  const platform = createPlatform(options);
  const { controls, nodes, workers } = platform;
  const ending = { isOver: false };
  try {
    await platform.start();
    const operator = new Operator(platform, SERVICES);
    await operator.change();
    await platform.waitUntilServing();
    const clientsPerNode = isDisrupted ? DISRUPTED_CLIENTS_PER_NODE : CLIENTS_PER_NODE;
    const clients = nodes.flatMap((node, nodeIndex) =>
      Array.from({ length: clientsPerNode }, (_, index) => {
        const service = SERVICES[index % SERVICES.length] ?? '';
        const name = `${seed}-${nodeIndex}-${index}`;
        const address = node.address('outbound');
        // Each client draws from a sequence of its own, so that their turns do not mix the sequences.
        const own = createSeededRandom(drawInteger(random, 1, 1_000_000));
        const leaveShare = isDisrupted ? LEAVE_SHARE : 0;
        return new KeepingClient({ address, service, name, random: own, leaveShare });
      }),
    );
    const running = clients.map((client) => client.run(() => ending.isOver));
    const delays = new DelayWatch(nodes);
    const watching = delays.run(() => ending.isOver);
    const workOptions = { ...options, services: SERVICES, isDisrupted };
    const done = await doPlannedWork(platform, random, operator, workOptions);
    await platform.waitUntilServing();
    ending.isOver = true;
    await Promise.all(running);
    await watching;
    const entered = [...clients, ...done.fillers].flatMap(({ address, sent }) => {
      const node = nodes.findIndex((one) => one.address('outbound') === address);
      return sent.map((request) => ({ request, node }));
    });
    const labels = entered.map(({ request: { end, statusCode } }) =>
      statusCode === undefined ? end : `${end} ${statusCode}`,
    );
    const failures = entered.flatMap(({ request }) => describeFailure(request) ?? []);
    const findings = findViolations(entered, workers, { ...done, delays });
    const evidence = findEvidence(findings.violations, [...controls, ...nodes]);
    return {
      ...{ seed, work: done.counts, requests: entered.length },
      ...{ ends: countEach(labels), failures: countEach(failures) },
      ...{ ownDelayMs: delays.largestOwnDelayMs, nodeWaitsMs: delays.waitsMs },
      ...findings,
      evidence: evidence.length > 0 ? [...describeSpans(done), ...evidence] : [],
    };
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
