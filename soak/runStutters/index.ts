/** One seeded run of the platform programs with workers that answer twice. */
import { setTimeout as sleep } from 'node:timers/promises';

import { PlatformCluster, createConfigurationDocument } from '../../stand-ins/platform/index.js';
import { createSeededRandom, drawInteger } from '../../stand-ins/createSeededRandom/index.js';
import type { Random } from '../../stand-ins/createSeededRandom/index.js';
import KeepingClient from '../../stand-ins/keepingClient/index.js';
import StutteringWorker from './StutteringWorker.js';
import findViolations from './findViolations.js';

/** Third bytes of the loopback addresses, so that several processes can run at the same time. */
const FIRST_NETWORK = 121;
const NETWORKS = 4;
const CONTROLS = 3;
const NODES = 4;
const ADDRESSES_PER_RUN = CONTROLS + NODES;
const RUNS_PER_NETWORK = 30;
const SERVICES = ['desk', 'ledger'];
const ZONES = ['zone-a', 'zone-b'];
const CLIENTS_PER_NODE = 8;
const MAX_SEED = 1_000_000;
const MIN_RESTART_GAP_MS = 1_000;
const MAX_RESTART_GAP_MS = 3_000;
const MAX_EVIDENCE_LINES = 20;
/** Part of the log lines of a node that falls behind its requests. */
const OVERLOAD_COMPONENT = '"component":"requests"';

export interface StutterSoakOptions {
  seed: number;
  durationMs: number;
  print?: (line: string) => void;
}

export interface StutterSoakReport {
  seed: number;
  requests: number;
  restarts: number;
  /** Number of requests by how they ended for their caller. */
  ends: Partial<Record<string, number>>;
  /** Number of second answers by moment and form. */
  stutters: Partial<Record<string, number>>;
  /** Violated guarantees; empty if the run passed. */
  violations: string[];
  /** Log lines that name the requests of the violations, and those of overloaded nodes. */
  evidence: string[];
}

const createIps = (): string[] => {
  const network = `127.0.${FIRST_NETWORK + (process.pid % NETWORKS)}`;
  const first = (Math.floor(process.pid / NETWORKS) % RUNS_PER_NETWORK) * ADDRESSES_PER_RUN + 1;
  return Array.from({ length: ADDRESSES_PER_RUN }, (_, index) => `${network}.${first + index}`);
};

const addCounts = (parts: Partial<Record<string, number>>[]): Partial<Record<string, number>> => {
  const sums: Partial<Record<string, number>> = {};
  parts
    .flatMap((part) => Object.entries(part))
    .forEach(([name, count = 0]) => {
      sums[name] = (sums[name] ?? 0) + count;
    });
  return sums;
};

/** Restarts one node after the other, after a SIGTERM or a SIGKILL, until the time is over. */
const restartNodes = async (
  { nodes }: PlatformCluster,
  random: Random,
  { durationMs, print = () => undefined }: StutterSoakOptions,
): Promise<number> => {
  const endMs = performance.now() + durationMs;
  const drawGapMs = (): number => drawInteger(random, MIN_RESTART_GAP_MS, MAX_RESTART_GAP_MS);
  let restarts = 0;
  for (let gapMs = drawGapMs(); performance.now() + gapMs < endMs; gapMs = drawGapMs()) {
    await sleep(gapMs);
    const node = nodes[drawInteger(random, 0, nodes.length - 1)];
    const signal = random() < 1 / 2 ? 'SIGTERM' : 'SIGKILL';
    print(`${Math.round(performance.now())} ms: ${signal} ${node?.ip}`);
    await node?.stop(signal);
    await node?.start({ isFirstStart: false });
    restarts += 1;
  }
  await sleep(Math.max(0, endMs - performance.now()));
  return restarts;
};

const findEvidence = (violations: string[], { nodes }: PlatformCluster): string[] => {
  const ids = violations.map((text) => /"attemptId":"([^"]+)"/.exec(text)?.[1] ?? '');
  if (ids.length === 0) return [];
  return nodes.flatMap(({ ip, output }) =>
    output
      .split('\n')
      .filter(
        (line) => line.includes(OVERLOAD_COMPONENT) || ids.some((id) => line.includes(`"${id}"`)),
      )
      .slice(0, MAX_EVIDENCE_LINES)
      .map((line) => `${ip}: ${line}`),
  );
};

/**
 * Runs the platform programs while workers write their answers again, whole and in part, at various
 * moments, and nodes are restarted.
 *
 * Checks that each caller gets the whole answer that a worker made for a run of its own request, or
 * none; that what is answered as not run has not run, and that no order runs twice.
 *
 * @param options - seed and duration
 * @returns counts and violations; all processes have ended by then
 */
const runStutters = async (options: StutterSoakOptions): Promise<StutterSoakReport> => {
  const { seed, durationMs } = options;
  const random = createSeededRandom(seed);
  const createOwnRandom = (): Random => createSeededRandom(drawInteger(random, 1, MAX_SEED));
  const ips = createIps();
  const stuttering = Array.from(
    { length: NODES },
    (_, index) => new StutteringWorker(`i-${index}`, createOwnRandom()),
  );
  const platform = new PlatformCluster({
    controlIps: ips.slice(0, CONTROLS),
    nodeIps: ips.slice(CONTROLS),
    ...{ services: SERVICES, zones: ZONES, machine: { isBundled: true } },
    findWorkerOptions: (index) => ({
      writeRawAnswer: (run, socket) => stuttering[index]?.answer(run, socket) ?? false,
    }),
  });
  try {
    await platform.start();
    await platform.applyConfiguration(createConfigurationDocument(1, 0, SERVICES));
    await platform.waitUntilServing();
    stuttering.forEach((worker) => Object.assign(worker, { isOn: true }));
    const clients = platform.nodes.flatMap((node, nodeIndex) =>
      Array.from({ length: CLIENTS_PER_NODE }, (_, index) => {
        const service = SERVICES[index % SERVICES.length] ?? '';
        const name = `${seed}-${nodeIndex}-${index}`;
        const address = node.address('outbound');
        return new KeepingClient({ address, service, name, random: createOwnRandom() });
      }),
    );
    const endMs = performance.now() + durationMs;
    const running = clients.map((client) => client.run(() => performance.now() > endMs));
    const restarts = await restartNodes(platform, random, options);
    await Promise.all(running);
    const sent = clients.flatMap((client) => client.sent);
    const ends = sent.map(({ end, statusCode }) => ({ [`${end} ${statusCode ?? ''}`.trim()]: 1 }));
    const violations = findViolations(
      sent,
      clients.flatMap(({ unasked }) => unasked),
      stuttering.flatMap(({ answers }) => answers),
    );
    return {
      ...{ seed, requests: sent.length, restarts, ends: addCounts(ends) },
      stutters: addCounts(stuttering.map(({ stutters }) => stutters)),
      ...{ violations, evidence: findEvidence(violations, platform) },
    };
  } finally {
    await platform.stop();
  }
};

export default runStutters;
