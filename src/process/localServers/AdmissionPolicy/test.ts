import tap from 'tap';

import createRandom from '../../../../test/requestMesh/createRandom.js';
import { FixedLimiter } from '../ConcurrencyLimiter/index.js';
import { SlotGate } from '../SlotGate/index.js';
import WorkspaceShares from '../WorkspaceShares/index.js';
import { FairSharePolicy, ObjectivePolicy, QuickFirstPolicy } from './index.js';

import type { AdmissionPolicy, SlotDemand } from './index.js';

const SLOTS = 6;
const SERVICE_MS = 100;
const OBJECTIVE_MS = 300;
const DEADLINE_MS = 800;

interface Outcome {
  timely: number;
  late: number;
  refused: number;
  /** Mean time from arrival to refusal. */
  heldMs: number;
}

/** A request of a simulated load. */
interface Arrival {
  atMs: number;
  demand: SlotDemand;
  drawServiceMs: () => number;
  onRefused: (nowMs: number) => void;
  onEnded: (nowMs: number) => void;
}

/** Sends requests to the gate of one server in simulated time. */
const simulateGate = (policy: AdmissionPolicy, arrivals: Arrival[]): void => {
  const gate = new SlotGate({ slots: SLOTS, limiter: new FixedLimiter(SLOTS), policy });
  const events: { atMs: number; run: () => void }[] = [];
  const schedule = (atMs: number, run: () => void): void => {
    events.push({ atMs, run });
    events.sort((left, right) => left.atMs - right.atMs);
  };
  let nowMs = 0;
  arrivals.forEach(({ atMs, demand, drawServiceMs, onRefused, onEnded }) => {
    schedule(atMs, () =>
      gate.admit(demand, atMs, (refusal) => {
        if (refusal !== undefined) {
          onRefused(nowMs);
          return;
        }
        const serviceMs = drawServiceMs();
        schedule(nowMs + serviceMs, () => {
          onEnded(nowMs);
          gate.release(demand, serviceMs, nowMs);
        });
      }),
    );
  });
  while (events.length > 0) {
    const next = events.shift();
    if (!next) break;
    nowMs = next.atMs;
    next.run();
    gate.refuseLateWaiters(nowMs);
  }
};

/** Simulates twice the capacity of the slots for 20 s. */
const simulateOverload = (policy: AdmissionPolicy, random: () => number): Outcome => {
  const outcome: Outcome = { timely: 0, late: 0, refused: 0, heldMs: 0 };
  const gapMs = SERVICE_MS / SLOTS / 2;
  const arrivals = Array.from({ length: 20_000 / gapMs }, (_, index): Arrival => {
    const arrivedAtMs = index * gapMs;
    return {
      atMs: arrivedAtMs,
      demand: {
        deadlineMs: arrivedAtMs + DEADLINE_MS,
        objectiveAtMs: arrivedAtMs + OBJECTIVE_MS,
        meanServiceMs: SERVICE_MS,
        minServiceMs: SERVICE_MS / 2,
        isRetry: false,
        isSlow: false,
      },
      drawServiceMs: () => -Math.log(1 - random()) * SERVICE_MS,
      onRefused: (nowMs) => {
        outcome.refused += 1;
        outcome.heldMs += nowMs - arrivedAtMs;
      },
      onEnded: (nowMs) => {
        if (nowMs <= arrivedAtMs + OBJECTIVE_MS) outcome.timely += 1;
        else outcome.late += 1;
      },
    };
  });
  simulateGate(policy, arrivals);
  return { ...outcome, heldMs: outcome.heldMs / Math.max(1, outcome.refused) };
};

// Guards against a full queue that makes every response late.
tap.test('at twice the capacity the slots serve requests that meet their objective', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const baseline = simulateOverload(new QuickFirstPolicy(), random);
  const outcome = simulateOverload(new ObjectivePolicy(), random);
  t.comment(`quick first ${JSON.stringify(baseline)}`);
  t.comment(`by objective ${JSON.stringify(outcome)}`);
  const capacity = (20_000 / SERVICE_MS) * SLOTS;
  t.ok(outcome.timely > capacity * 0.75, `${outcome.timely} of ${capacity}`);
  t.ok(outcome.timely > baseline.timely, `${baseline.timely} with the baseline`);
  t.ok(outcome.heldMs < OBJECTIVE_MS / 8, `refused after ${Math.round(outcome.heldMs)} ms`);
});

// Guards against refusing the retry of a caller while new requests are served.
tap.test('retries of refused callers are served first within their priority', async (t) => {
  const policy = new ObjectivePolicy();
  const demand = { deadlineMs: 1_000, isRetry: false, isSlow: false };
  const rank = (priority: number, isReturn: boolean): number =>
    policy.computeRank({ ...demand, priority, isReturn });
  t.ok(rank(2, true) < rank(2, false));
  t.ok(rank(1, false) < rank(2, true), 'a higher priority still precedes a retry');
});

// Guards against requests that wait for a server which releases no slots.
tap.test('a waiting request that would finish late is refused before its deadline', async (t) => {
  const gate = new SlotGate({
    slots: 1,
    limiter: new FixedLimiter(1),
    policy: new ObjectivePolicy(),
  });
  const demand = { deadlineMs: 800, objectiveAtMs: 300, isRetry: false, isSlow: false };
  gate.admit(demand, 0, () => undefined);
  let refusedAtMs: number | undefined;
  let nowMs = 0;
  gate.admit(demand, 0, (refusal) => {
    if (refusal !== undefined) refusedAtMs = nowMs;
  });
  for (; nowMs < 800 && refusedAtMs === undefined; nowMs += 50) gate.refuseLateWaiters(nowMs);
  t.ok(refusedAtMs !== undefined && refusedAtMs <= 400, `${refusedAtMs}`);
});

interface RouteLoad {
  gapMs: number;
  serviceMs: number;
  demand: (arrivedAtMs: number) => SlotDemand;
}

/** Counts the requests of each route that are refused within 30 s. */
const countRefused = (loads: RouteLoad[], random: () => number): number[] => {
  const refused = loads.map(() => 0);
  const arrivals = loads.flatMap(({ gapMs, serviceMs, demand }, index) =>
    Array.from({ length: 30_000 / gapMs }, (_, count): Arrival => ({
      atMs: count * gapMs,
      demand: demand(count * gapMs),
      drawServiceMs: () => serviceMs * (0.5 + random()),
      onRefused: () => {
        refused[index] = (refused[index] ?? 0) + 1;
      },
      onEnded: () => undefined,
    })),
  );
  simulateGate(new ObjectivePolicy(), arrivals);
  return refused;
};

// Guards against refusing calls of running requests, which wastes the slot that the caller holds.
tap.test('brief calls are served while long requests overload the server', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const createDemand =
    (objectiveMs: number, deadlineMs: number, meanServiceMs: number, priority: number) =>
    (arrivedAtMs: number): SlotDemand => ({
      deadlineMs: arrivedAtMs + deadlineMs,
      objectiveAtMs: arrivedAtMs + objectiveMs,
      meanServiceMs,
      isRetry: false,
      isSlow: false,
      isBrief: meanServiceMs < 50,
      priority,
    });
  const brief = createDemand(40, 200, 22, 1);
  const refused = countRefused(
    [
      { gapMs: 16, serviceMs: 22, demand: brief },
      { gapMs: 60, serviceMs: 220, demand: createDemand(600, 1_500, 220, 2) },
      { gapMs: 110, serviceMs: 360, demand: createDemand(1_000, 2_500, 360, 2) },
    ],
    random,
  );
  t.comment(`refused ${refused.join()}`);
  const [refusedBrief = 0, ...refusedLong] = refused;
  t.ok(refusedBrief < (30_000 / 16) * 0.02, `${refusedBrief} of ${30_000 / 16}`);
  t.ok(Math.max(...refusedLong) > 0, 'the load exceeds the capacity');
});

// Guards against priorities of workspaces, which are above those of routes, that all count the same.
tap.test('priorities above 9 keep their order', async (t) => {
  const policy = new ObjectivePolicy();
  const ranks = [9, 10, 21, 10_009].map((priority) =>
    policy.computeRank({ deadlineMs: 1, isRetry: false, isSlow: false, priority, isReturn: false }),
  );
  t.strictSame(
    ranks,
    ranks.toSorted((left, right) => left - right),
  );
  t.equal(new Set(ranks).size, ranks.length);
});

/** Sends the requests of ten workspaces, the first of them `factor` times as many as the others. */
const simulateWorkspaces = (
  policy: AdmissionPolicy,
  random: () => number,
  { factor, getPriority }: { factor: number; getPriority: (index: number) => number },
): number[] => {
  const served = Array.from({ length: 10 }, () => 0);
  const offered = Array.from({ length: 10 }, () => 0);
  const arrivals = Array.from({ length: 2_000 }, (_, index): Arrival => {
    const atMs = (index * SERVICE_MS) / SLOTS / 1.6;
    const workspace = Math.max(0, Math.floor(random() * (9 + factor)) - factor + 1);
    offered[workspace] = (offered[workspace] ?? 0) + 1;
    const demand = {
      ...{ deadlineMs: atMs + DEADLINE_MS, objectiveAtMs: atMs + OBJECTIVE_MS },
      ...{ meanServiceMs: SERVICE_MS, minServiceMs: SERVICE_MS / 2 },
      ...{ isRetry: false, isSlow: false, priority: getPriority(workspace) },
      workspace: `w${workspace}`,
    };
    const onEnded = (): void => {
      served[workspace] = (served[workspace] ?? 0) + 1;
    };
    return { atMs, demand, drawServiceMs: () => SERVICE_MS, onRefused: () => undefined, onEnded };
  });
  simulateGate(policy, arrivals);
  return served.map((count, workspace) => count / (offered[workspace] ?? 1));
};

const createFairPolicy = (): AdmissionPolicy =>
  new FairSharePolicy(new ObjectivePolicy(), new WorkspaceShares(() => 1));

// Guards against a workspace whose excess takes the slots of the others.
tap.test('a workspace with seven times its requests displaces few of the others', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const load = { factor: 7, getPriority: () => 1 };
  const [, ...before] = simulateWorkspaces(new ObjectivePolicy(), random, load);
  const [hot, ...others] = simulateWorkspaces(createFairPolicy(), random, load);
  t.comment(`by objective ${Math.min(...before)}, by shares ${Math.min(...others)}, hot ${hot}`);
  t.ok(Math.min(...others) > 0.8, 'the others are served');
  t.ok(Math.min(...others) > Math.min(...before) + 0.2);
});

// Guards against less urgent workspaces that get no slot at all.
tap.test('a less urgent workspace is served at least a quarter as often as all', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const load = { factor: 1, getPriority: (index: number) => (index > 6 ? 1 : 0) };
  const before = simulateWorkspaces(new ObjectivePolicy(), random, load);
  const served = simulateWorkspaces(createFairPolicy(), random, load);
  t.comment(`by objective ${Math.min(...before)}, with a floor ${Math.min(...served)}`);
  const mean = served.reduce((sum, share) => sum + share, 0) / served.length;
  t.ok(Math.min(...served) > mean / 4, `${Math.min(...served)} of ${mean}`);
});
