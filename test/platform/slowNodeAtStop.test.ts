/** Lookups at a bundled node, with and without SIGTERM, while the node beside a free worker stands still. */
import { randomUUID } from 'node:crypto';
import { loadavg } from 'node:os';
import { setTimeout as sleep } from 'node:timers/promises';

import tap from 'tap';
import { request } from 'undici';

import type { Socket } from 'node:net';
import type { Test } from 'tap';
import {
  PlatformCluster,
  createConfigurationDocument,
  readRuntimeOptions,
} from '../../stand-ins/platform/index.js';
import type { PlatformMachine, WorkerRun } from '../../stand-ins/platform/index.js';
import waitFor from '../../stand-ins/waitFor/index.js';

/** Loopback network of the run, so that several processes can run the test at the same time. */
const NETWORK = `127.${100 + (process.pid % 100)}`;
const CONTROL_IP = `${NETWORK}.83.1`;
const NODE_IPS = Array.from({ length: 6 }, (_, index) => `${NETWORK}.84.${index + 1}`);
/** Services of the workers, which take turns: three of the six have lookups of `desk`. */
const SERVICES = ['desk', 'ledger'];
/** The only worker of `desk` that is not full; its node stands still. */
const FREE_WORKER = 0;
const FULL_WORKERS = [2, 4];
/** Node at which the other callers fill the slots of the full workers. */
const OTHER_ENTRY = 5;
/** Path of the other callers' lookups. */
const HOLD_PATH = '/desk/hold/';
const FREE_SLOTS = 16;
const FULL_SLOTS = 4;
const WORK_MS = 60;
const MAX_ATTEMPTS = 2;
const DEADLINE_MS = 2_500;
/** Longer than the whole test, so that the slots stay full. */
const HOLD_MS = 60_000;
const LOOKUP_INTERVAL_MS = 10;
const LOOKUPS_MS = 1_400;
/** Time from SIGTERM to the first lookup. */
const STOP_LEAD_MS = 500;
/** Time from the first lookup until the node stands still. */
const STANDSTILL_LEAD_MS = 300;
const SUSPENSION_MS = 700;
const SLOWNESS_MS = 1_200;
/** Time after which a node without an acknowledgement counts as unresponsive. */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 450;
const STANDSTILL_STEP_MS = 100;
const RUN_STEP_MS = 1;
/** Time after the last deadline in which a late run would show. */
const LATE_RUN_MS = 300;
const EVIDENCE_REQUESTS = 3;
const TIMEOUT_MS = 120_000;
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

enum Pace {
  Suspended = 'SUSPENDED',
  Slowed = 'SLOWED',
}

interface Lookup {
  attemptId: string;
  sentAtMs: number;
  endedAtMs: number;
  /** 0 if the connection ended without an answer. */
  status: number;
  /** Whether a worker answered, not a node. */
  isStamped: boolean;
}

interface LookupRun {
  worker: number;
  attemptId: string;
  atMs: number;
}

const lookUp = async (node: PlatformMachine, path = '/desk/1'): Promise<Lookup> => {
  const attemptId = randomUUID();
  const sentAtMs = performance.now();
  const end = (status: number, isStamped: boolean): Lookup => ({
    ...{ attemptId, sentAtMs, endedAtMs: performance.now(), status, isStamped },
  });
  const remainingMs = path.startsWith(HOLD_PATH) ? HOLD_MS : DEADLINE_MS;
  const headers = {
    ...{ host: 'shop.example', 'attempt-id': attemptId },
    'deadline-remaining': String(remainingMs),
  };
  try {
    const {
      statusCode,
      headers: answer,
      body,
    } = await request(`http://${node.address('outbound')}${path}`, { headers });
    await body.dump();
    return end(statusCode, answer['server-stamp'] !== undefined);
  } catch {
    return end(0, false);
  }
};

const at = <Item>(items: Item[], index: number): Item => {
  const item = items[index];
  if (item === undefined) throw new Error(`there is no item ${index}`);
  return item;
};

const createDocument = (): object => {
  const document = createConfigurationDocument(1, 0, SERVICES);
  const lookups = { host: 'shop.example', route_class: 'safe', priority: 2, service: 'desk' };
  return {
    ...document,
    routes: [
      ...document.routes.filter((route) => !('name' in route && route.name === 'desk-lookups')),
      {
        ...{ ...lookups, name: 'desk-lookups', path_prefix: '/desk/', max_attempts: MAX_ATTEMPTS },
        ...{ timeout: `${DEADLINE_MS}ms`, target_latency: '500ms' },
      },
      {
        ...{ ...lookups, name: 'desk-holds', path_prefix: HOLD_PATH, max_attempts: 1 },
        ...{ timeout: `${HOLD_MS}ms`, target_latency: `${HOLD_MS}ms` },
      },
    ],
  };
};

/** Lookups of other callers that workers hold: the full ones for good, the free one while they fill. */
class HeldLookups {
  readonly #answers: (() => void)[] = [];

  /** Open connections on which the full workers hold a lookup. */
  readonly #open = FULL_WORKERS.map((worker) => ({ worker, sockets: new Set<Socket>() }));

  #isReleased = false;

  get areWorkersFull(): boolean {
    return this.#open.every(({ sockets }) => sockets.size >= FULL_SLOTS);
  }

  /** Takes a lookup; returns whether it is held. */
  hold(index: number, { attemptId, path }: WorkerRun, socket: Socket): boolean {
    if (!path.startsWith(HOLD_PATH)) return false;
    const sockets = this.#open.find(({ worker }) => worker === index)?.sockets;
    if (sockets) {
      sockets.add(socket);
      socket.once('close', () => sockets.delete(socket));
      return true;
    }
    if (this.#isReleased) return false;
    const head = ['HTTP/1.1 200 OK', `attempt-id: ${attemptId}`, 'server-stamp: s.held'];
    const answer = [...head, 'content-length: 0', 'connection: close', '', ''].join('\r\n');
    this.#answers.push(() => socket.end(answer));
    return true;
  }

  /** Answers what the free worker holds; it holds nothing from now on. */
  release(): void {
    this.#isReleased = true;
    this.#answers.splice(0).forEach((answer) => answer());
  }
}

const createPlatform = async (held: HeldLookups): Promise<PlatformCluster> =>
  new PlatformCluster({
    controlIps: [CONTROL_IP],
    nodeIps: NODE_IPS,
    services: SERVICES,
    zones: ['zone-a'],
    machine: { isBundled: true, runtimeOptions: await readRuntimeOptions() },
    findWorkerOptions: (index) => ({
      workMs: WORK_MS,
      slots: index === FREE_WORKER ? FREE_SLOTS : FULL_SLOTS,
      // The full workers never answer the lookups of the other callers.
      writeRawAnswer: (run, socket) => held.hold(index, run, socket),
    }),
  });

/** Fills the slots of the full workers with lookups that stay there. */
const fillWorkers = async ({ nodes }: PlatformCluster, held: HeldLookups): Promise<void> => {
  const entry = at(nodes, OTHER_ENTRY);
  await waitFor('full workers', () => {
    if (held.areWorkersFull) return true;
    // Never rejects, and a lookup that is refused takes no slot.
    lookUp(entry, `${HOLD_PATH}1`).catch(() => undefined);
    return false;
  });
  held.release();
};

/** Waits without leaving the processor, since timers are too coarse for a millisecond. */
const spin = (durationMs: number): void => {
  const endsAtMs = performance.now() + durationMs;
  while (performance.now() < endsAtMs);
};

const holdUp = async (node: PlatformMachine, pace: Pace): Promise<void> => {
  if (pace === Pace.Suspended) {
    node.setFrozen(true);
    await sleep(SUSPENSION_MS);
    node.setFrozen(false);
    return;
  }
  const endsAtMs = performance.now() + SLOWNESS_MS;
  while (performance.now() < endsAtMs) {
    node.setFrozen(true);
    await sleep(STANDSTILL_STEP_MS);
    node.setFrozen(false);
    spin(RUN_STEP_MS);
  }
};

const sendLookups = async (entry: PlatformMachine): Promise<Lookup[]> => {
  const startedAtMs = performance.now();
  const lookups: Promise<Lookup>[] = [];
  while (performance.now() < startedAtMs + LOOKUPS_MS) {
    lookups.push(lookUp(entry));
    await sleep(startedAtMs + lookups.length * LOOKUP_INTERVAL_MS - performance.now());
  }
  return Promise.all(lookups);
};

const findRuns = ({ workers }: PlatformCluster): Map<string, LookupRun[]> => {
  const runs = new Map<string, LookupRun[]>();
  workers.forEach(({ runs: own }, worker) =>
    own.forEach(({ attemptId, atMs }) =>
      runs.set(attemptId, [...(runs.get(attemptId) ?? []), { worker, attemptId, atMs }]),
    ),
  );
  return runs;
};

const findFaults = (lookup: Lookup, runs: LookupRun[]): string[] => {
  const { status, isStamped, sentAtMs, endedAtMs } = lookup;
  const isPromise = NOT_RUN_STATUSES.has(status) && !isStamped;
  const isBeforeDeadline = endedAtMs < sentAtMs + DEADLINE_MS;
  const isRunLater = runs.some(({ atMs }) => atMs + WORK_MS > endedAtMs);
  const workers = new Set(runs.map(({ worker }) => worker));
  return [
    ...(status === 502 && isRunLater ? ['answered 502 and run then or afterwards'] : []),
    ...(isPromise && runs.length > 0 ? ['refused as not run, and run'] : []),
    ...(status === 0 && runs.length > 0 ? ['run, and not answered'] : []),
    ...(status !== 0 && !isStamped && !isPromise && isBeforeDeadline
      ? ['ended by the node before its deadline']
      : []),
    ...(workers.size > MAX_ATTEMPTS ? ['run at too many workers'] : []),
  ];
};

const findEvidence = (machines: PlatformMachine[], attemptIds: string[]): string[] =>
  attemptIds.flatMap((id) =>
    machines.flatMap(({ ip, output }) =>
      output
        .split('\n')
        .filter((line) => line.includes(`"${id}"`))
        .map((line) => `${ip}: ${line}`),
    ),
  );

const countBy = (labels: string[]): Record<string, number> =>
  Object.fromEntries(
    [...new Set(labels)].map((label) => [label, labels.filter((next) => next === label).length]),
  );

interface Variant {
  entry: number;
  pace: Pace;
  isStopped: boolean;
}

const VARIANTS: Variant[] = [
  { entry: 1, pace: Pace.Suspended, isStopped: false },
  { entry: 1, pace: Pace.Slowed, isStopped: false },
  { entry: 1, pace: Pace.Suspended, isStopped: true },
  { entry: 3, pace: Pace.Slowed, isStopped: true },
];

/** Sends lookups to the entry node while the other node stands still; returns how they ended. */
const play = async (
  { nodes }: PlatformCluster,
  { entry: entryIndex, pace, isStopped }: Variant,
): Promise<Lookup[]> => {
  const entry = at(nodes, entryIndex);
  await waitFor('served lookups', async () => {
    const replies = await Promise.all(Array.from({ length: 4 }, () => lookUp(entry)));
    return replies.every(({ status }) => status === 200);
  });
  if (isStopped) {
    entry.signal('SIGTERM');
    await sleep(STOP_LEAD_MS);
  }
  const sending = sendLookups(entry);
  await sleep(STANDSTILL_LEAD_MS);
  await holdUp(at(nodes, FREE_WORKER), pace);
  return sending;
};

const checkLookups = (t: Test, platform: PlatformCluster, lookups: Lookup[]): void => {
  const runs = findRuns(platform);
  const records = lookups.map((lookup) => {
    const own = runs.get(lookup.attemptId) ?? [];
    const { attemptId, status, sentAtMs, endedAtMs } = lookup;
    return {
      ...{ attemptId, status, faults: findFaults(lookup, own) },
      answeredAfterMs: Math.round(endedAtMs - sentAtMs),
      runsAfterMs: own.map(({ atMs }) => Math.round(atMs - sentAtMs)),
    };
  });
  // Those with the most faults are the most telling ones.
  const faulty = records
    .filter(({ faults }) => faults.length > 0)
    .sort((one, other) => other.faults.length - one.faults.length);
  const faults = countBy(faulty.flatMap((record) => record.faults));
  const figures = {
    ...{ lookups: lookups.length, statuses: countBy(records.map(({ status }) => `${status}`)) },
    faults,
    slowestMs: Math.max(...records.map(({ answeredAfterMs }) => answeredAfterMs)),
    loadAverage: loadavg()[0],
  };
  t.comment(JSON.stringify(figures));
  const examples = faulty.slice(0, EVIDENCE_REQUESTS);
  examples.forEach((record) => t.comment(JSON.stringify(record)));
  findEvidence(
    platform.nodes,
    examples.map(({ attemptId }) => attemptId),
  ).forEach((line) => t.comment(line));
  t.strictSame(faults, {});
};

tap.setTimeout(TIMEOUT_MS);

// Guards against a lookup given up for another server that can't take it, and run all the same.
tap.test('no lookup is given up while the node beside its worker stands still', async (t) => {
  const held = new HeldLookups();
  const platform = await createPlatform(held);
  t.teardown(() => platform.stop());
  await platform.start();
  await platform.applyConfiguration(createDocument());
  await platform.waitUntilServing();
  await fillWorkers(platform, held);
  const played: { variant: Variant; lookups: Lookup[] }[] = [];
  await VARIANTS.reduce(async (earlier, variant) => {
    await earlier;
    played.push({ variant, lookups: await play(platform, variant) });
  }, Promise.resolve());
  const lastSentAtMs = Math.max(
    ...played.flatMap(({ lookups }) => lookups.map(({ sentAtMs }) => sentAtMs)),
  );
  await sleep(lastSentAtMs + DEADLINE_MS + LATE_RUN_MS - performance.now());
  t.ok(held.areWorkersFull, 'the other workers were full all the time');
  await Promise.all(
    played.map(({ variant: { pace, isStopped }, lookups }) =>
      t.test(`${pace}, ${isStopped ? 'with' : 'without'} SIGTERM`, async (subtest) => {
        checkLookups(subtest, platform, lookups);
        if (pace !== Pace.Suspended) return;
        const wasHeldUp = lookups.some(
          ({ sentAtMs, endedAtMs }) => endedAtMs - sentAtMs > ACKNOWLEDGEMENT_TIMEOUT_MS,
        );
        subtest.ok(wasHeldUp, 'lookups met the node that stood still');
      }),
    ),
  );
});
