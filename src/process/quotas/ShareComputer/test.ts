import assert from 'node:assert';

import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import { WorkspaceSchema } from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import WorkspaceLimiter from '../../../request/limitWorkspaces/index.js';
import { createSeededRandom } from '../../../../stand-ins/createSeededRandom/index.js';
import ShareComputer from './index.js';

import type { NodeUsage, Quota } from '../types.js';

type Tap = Pick<typeof tap, 'comment'>;

/** Fixed, so that each run has the same verdict; the last ones failed once. TEST_SEED plays another. */
const SEEDS = process.env.TEST_SEED
  ? [Number(process.env.TEST_SEED)]
  : [1, 2, 3, 437_977_960, 563_855_865];
const BOUNDS = { windowS: 5, overage: 0.1, slack: 20 };
const STEP_MS = 10;
const ROUND_MS = 250;
const KEY_LIFETIME_MS = 3_000;
const MEMBERS = 3;
/** Time without demand at the start, in which nodes and control VMs learn of each other. */
const START_MS = 2_500;
/** Time for which a request waits at a server before it is refused. */
const REFUSED_AFTER_MS = 300;
/** Part of the requests within a quota that is to be admitted. */
const MIN_SERVED = 0.95;

interface Load {
  nodeCount: number;
  quotas: (nowMs: number) => Quota[];
  /** Requests per second of a workspace over all nodes. */
  rate: (quota: Quota, nowMs: number) => number;
  /** Index of the node that a request enters at. */
  pickNode: (quota: Quota, random: number, nowMs: number) => number;
  /** Whether a message between a node or control VM and a control VM is lost. */
  isLost?: (from: number, member: number, nowMs: number, random: number) => boolean;
  /** Control VMs that do nothing at a time. */
  isFrozen?: (member: number, nowMs: number) => boolean;
  /** Times at which a node or a control VM starts anew. */
  restartsNode?: (index: number, nowMs: number) => boolean;
  restartsMember?: (member: number, nowMs: number) => boolean;
  /** Whether the servers refuse a request that was admitted, as not run. */
  isRefused?: (random: number) => boolean;
  lengthMs?: number;
}

interface Tally {
  offered: number;
  /** One bucket for all nodes, and when it would have admitted requests. */
  level: number;
  updatedAtMs: number;
  owedAtMs: number[];
  admittedAtMs: number[];
  /** The requests that ran. */
  ranAtMs: number[];
}

/** A request that was admitted and that servers refuse later. */
interface RefusedRequest {
  atMs: number;
  giveBack: () => void;
}

const NODES = 45;
const QUOTAS = [456, 100, 25, 4].map((rate) => ({
  name: `w${rate}`,
  ratePerSecond: rate,
  burst: rate,
}));
const USUAL_SHARE = 0.625;
const HOT_FROM_MS = 8_000;
const HOT_TO_MS = 14_000;
const HOT_FACTOR = 7.5;

const rateUsually = ({ ratePerSecond }: Quota): number => ratePerSecond * USUAL_SHARE;
const isHot = (nowMs: number): boolean => nowMs > HOT_FROM_MS && nowMs < HOT_TO_MS;
const rateHot = (quota: Quota, nowMs: number): number =>
  rateUsually(quota) * (isHot(nowMs) ? HOT_FACTOR : 1);
const spread = (_quota: Quota, random: number): number => Math.floor(random * NODES);
/** Sends the requests of few callers, each of whom keeps to one node. */
const pin = ({ ratePerSecond }: Quota, random: number): number =>
  Math.floor(random * Math.max(1, ratePerSecond / 3)) % NODES;
/** Sends all requests to the nodes of one control VM after the other. */
const move = (_quota: Quota, random: number, nowMs: number): number =>
  (Math.floor(nowMs / 1_500) % MEMBERS) + MEMBERS * Math.floor((random * NODES) / MEMBERS);
/** Whether the third control VM and its nodes are cut off from the others. */
const isCutOff = (from: number, member: number, nowMs: number): boolean => {
  const isBeyond = from < 0 ? from === -MEMBERS : from % MEMBERS === MEMBERS - 1;
  return nowMs > 7_000 && nowMs < 13_000 && isBeyond !== (member === MEMBERS - 1);
};
const USUAL: Load = {
  nodeCount: NODES,
  quotas: () => QUOTAS,
  rate: rateUsually,
  pickNode: spread,
};
/** Control VMs restart one after the other. */
const isTurn = (member: number, nowMs: number): boolean =>
  Math.floor(nowMs / ROUND_MS) === 36 + member * 8;
const HOT: Load = { ...USUAL, rate: rateHot };

/** Runs limiters and share computers in simulated time; messages take one step. */
const simulate = (load: Load, random: () => number): Map<string, Tally> => {
  const { nodeCount, isLost = () => false, lengthMs = 20_000 } = load;
  const workspace = (quota: Quota) => create(WorkspaceSchema, quota);
  const tallies = new Map<string, Tally>();
  const createMember = (index: number) => ({
    computer: new ShareComputer({
      memberId: `c${index}`,
      bounds: BOUNDS,
      keyLifetimeMs: KEY_LIFETIME_MS,
    }),
    known: new Map<string, NodeUsage>(),
    isConfirmed: true,
    heardAtMs: Array.from({ length: MEMBERS }, () => 0),
  });
  const members = Array.from({ length: MEMBERS }, (_, index) => createMember(index));
  const createNode = (index: number, incarnation: bigint) => {
    const node = {
      nodeId: `n${index}`,
      incarnation,
      member: index % MEMBERS,
      answeredAtMs: Number(incarnation),
      confirmedAtMs: Number(incarnation),
    };
    const limiter = new WorkspaceLimiter({
      bounds: BOUNDS,
      countNodes: () => nodeCount,
      random,
    });
    return Object.assign(node, { limiter });
  };
  const nodes = Array.from({ length: nodeCount }, (_, index) => createNode(index, 1n));
  const refused: RefusedRequest[] = [];
  const report = (index: number, nowMs: number): void => {
    const node = nodes[index];
    if (!node) return;
    const isCut = (member: number): boolean =>
      (load.isFrozen?.(member, nowMs) ?? false) || isLost(index, member, nowMs, random());
    if (nowMs - node.answeredAtMs > 1_000) node.member = (node.member + 1) % MEMBERS;
    if (isCut(node.member)) return;
    node.answeredAtMs = nowMs;
    if (members[node.member]?.isConfirmed) node.confirmedAtMs = nowMs;
    const { nodeId, incarnation, member } = node;
    const usage = node.limiter.collectUsage().map((count) => ({ ...count }));
    const entry = { nodeId, incarnation, usage, memberId: `c${member}`, seenAtMs: nowMs };
    members[member]?.known.set(nodeId, entry);
    const shares = members[member]?.computer.computeShares(nodeId) ?? [];
    const quotaShares = shares.map((share) => ({
      ...share,
      $typeName: 'foxtailvane.v1.QuotaShare',
    }));
    node.limiter.adopt({ shares: quotaShares as never }, nowMs);
  };
  const compute = (index: number, nowMs: number): void => {
    if (load.restartsMember?.(index, nowMs)) members[index] = createMember(index);
    if (load.isFrozen?.(index, nowMs)) return;
    const self = members[index];
    if (!self) return;
    members.forEach((other, otherIndex) => {
      if (otherIndex !== index && load.isFrozen?.(otherIndex, nowMs)) return;
      if (otherIndex !== index && isLost(-otherIndex - 1, index, nowMs, random())) return;
      self.heardAtMs[otherIndex] = nowMs;
      other.known.forEach((entry, nodeId) => {
        const former = self.known.get(nodeId);
        if (entry.memberId === `c${otherIndex}` && entry.seenAtMs >= (former?.seenAtMs ?? 0)) {
          self.known.set(nodeId, entry);
        }
      });
    });
    const silent = self.heardAtMs.flatMap((atMs, other) =>
      nowMs - atMs > 1_000 ? [`c${other}`] : [],
    );
    self.isConfirmed = silent.length * 2 < MEMBERS;
    const input = {
      nodes: [...self.known.values()],
      quotas: load.quotas(nowMs),
      isConfirmed: self.isConfirmed,
      silentMemberIds: new Set(silent),
    };
    self.computer.update(input, nowMs);
  };
  const send = (quota: Quota, nowMs: number): void => {
    const node = nodes[load.pickNode(quota, random(), nowMs)];
    if (!node || nowMs - node.confirmedAtMs > KEY_LIFETIME_MS) return;
    const { burst, ratePerSecond } = quota;
    const fresh = {
      offered: 0,
      level: burst,
      updatedAtMs: nowMs,
      owedAtMs: [],
      admittedAtMs: [],
      ranAtMs: [],
    };
    const tally: Tally = tallies.get(quota.name) ?? fresh;
    tallies.set(quota.name, tally);
    tally.offered += 1;
    const earned = ((nowMs - tally.updatedAtMs) * ratePerSecond) / 1_000;
    tally.level = Math.min(burst, tally.level + earned);
    tally.updatedAtMs = nowMs;
    const isOwed = tally.level >= 1;
    if (isOwed) {
      tally.owedAtMs.push(nowMs);
      tally.level -= 1;
    }
    const isConfirmed = nowMs - node.confirmedAtMs <= 1_000;
    const isAdmitted = !node.limiter.admit(workspace(quota), nowMs, isConfirmed);
    if (isAdmitted) tally.admittedAtMs.push(nowMs);
    if (!load.isRefused?.(random())) {
      if (isAdmitted) tally.ranAtMs.push(nowMs);
      return;
    }
    const giveBack = (): void => {
      if (isOwed) tally.level += 1;
      if (isAdmitted) node.limiter.giveBack(quota.name);
    };
    refused.push({ atMs: nowMs + REFUSED_AFTER_MS, giveBack });
  };
  Array.from({ length: lengthMs / STEP_MS }, (_, step) => (step + 1) * STEP_MS).forEach((nowMs) => {
    nodes.forEach((_, index) => {
      if (load.restartsNode?.(index, nowMs)) nodes[index] = createNode(index, BigInt(nowMs));
      if ((nowMs / STEP_MS + index) % (ROUND_MS / STEP_MS) === 0) report(index, nowMs);
    });
    members.forEach((_, index) => {
      if ((nowMs / STEP_MS + index * 7) % (ROUND_MS / STEP_MS) === 0) compute(index, nowMs);
    });
    while ((refused[0]?.atMs ?? Infinity) <= nowMs) refused.shift()?.giveBack();
    if (nowMs < START_MS) return;
    load.quotas(nowMs).forEach((quota) => {
      const expected = (load.rate(quota, nowMs) * STEP_MS) / 1_000;
      const count = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
      Array.from({ length: count }).forEach(() => send(quota, nowMs));
    });
  });
  return tallies;
};

const computeBound = ({ ratePerSecond, burst }: Quota): number =>
  (ratePerSecond * BOUNDS.windowS + burst) * (1 + BOUNDS.overage) + BOUNDS.slack;

/** Returns the highest number of requests in a window that ran, as a share of what is allowed. */
const computeHighestUse = (quota: Quota, { ranAtMs }: Tally): number => {
  let first = 0;
  const highest = ranAtMs.reduce((most, atMs, index) => {
    while ((ranAtMs[first] ?? atMs) <= atMs - BOUNDS.windowS * 1_000) first += 1;
    return Math.max(most, index - first + 1);
  }, 0);
  return highest / computeBound(quota);
};

const runLoad = (t: Tap, load: Load, seed: number) =>
  [...simulate(load, createSeededRandom(seed))].map(([workspace, tally]) => {
    const quota = QUOTAS.find(({ name }) => name === workspace) ?? assert.fail(workspace);
    const use = computeHighestUse(quota, tally);
    const served = tally.admittedAtMs.length / tally.owedAtMs.length;
    const name = `${workspace}, seed ${seed}`;
    t.comment(`${name}: highest use ${use.toFixed(2)}, served ${served.toFixed(2)}`);
    return { name, use, served };
  });

const runSeeds = (t: Tap, load: Load) => SEEDS.flatMap((seed) => runLoad(t, load, seed));

const HONEST: Record<string, Load> = {
  'from all nodes': USUAL,
  'from few nodes': { ...USUAL, pickNode: pin },
  'that moves between data centres': { ...USUAL, pickNode: move },
  'while reports are lost': { ...USUAL, isLost: (_from, _to, _at, random) => random < 0.3 },
  'while nodes restart': {
    ...USUAL,
    restartsNode: (index, atMs) => atMs % 2_000 === 0 && (index + atMs / 2_000) % 4 === 0,
  },
  'while a control VM is frozen': {
    ...USUAL,
    isFrozen: (member, atMs) => member === 1 && atMs > 7_500 && atMs < 12_000,
  },
  'while a control VM is cut off': { ...USUAL, isLost: isCutOff },
  'while servers refuse most requests': {
    ...USUAL,
    rate: (quota) => 2 * rateUsually(quota),
    isRefused: (random) => random < 0.6,
  },
};

// Guards against requests within a quota that are refused because the shares are at other nodes.
Object.entries(HONEST).forEach(([name, load]) =>
  tap.test(`a workspace within its quota is served, ${name}`, async (t) => {
    runSeeds(t, load).forEach(({ name: workspace, served, use }) => {
      t.ok(served >= MIN_SERVED, `${workspace} is served`);
      t.ok(use < 1, `${workspace} is within the bound`);
    });
  }),
);

const EXCESSIVE: Record<string, Load> = {
  'at all nodes': HOT,
  'at few nodes': { ...HOT, pickNode: pin },
  'that moves between data centres': { ...HOT, pickNode: move },
  'while reports are lost': { ...HOT, isLost: (_from, _to, _at, random) => random < 0.3 },
  'while nodes restart': {
    ...HOT,
    restartsNode: (index, atMs) => atMs % 2_000 === 0 && (index + atMs / 2_000) % 4 === 0,
  },
  'while control VMs restart': { ...HOT, restartsMember: (member, atMs) => isTurn(member, atMs) },
  'while a control VM is frozen': {
    ...HOT,
    isFrozen: (member, atMs) => member === 1 && atMs > 7_500 && atMs < 12_000,
  },
  'while a control VM is cut off': { ...HOT, isLost: isCutOff },
  'while servers refuse most requests': { ...HOT, isRefused: (random) => random < 0.6 },
};

// Guards against shares whose sum exceeds the quota, and against shares that come too slowly.
Object.entries(EXCESSIVE).forEach(([name, load]) =>
  tap.test(`a workspace beyond its quota stays within the bound, ${name}`, async (t) => {
    runSeeds(t, load).forEach(({ name: workspace, served, use }) => {
      t.ok(use <= 1, `${workspace} is within the bound`);
      t.ok(served > 0.85, `${workspace} can use its quota`);
    });
  }),
);

// Guards against shares that outlive the quota that they are part of, and against unused quota.
tap.test('a lowered quota binds at once, and a raised one is usable at once', async (t) => {
  const lowered = QUOTAS.map((quota) => ({ ...quota, ratePerSecond: quota.ratePerSecond / 2 }));
  const isLowered = (atMs: number): boolean => atMs >= 8_000 && atMs < 14_000;
  const quotas = (atMs: number): Quota[] => (isLowered(atMs) ? lowered : QUOTAS);
  const rate = ({ burst }: Quota): number => burst * 1.2;
  const load = { ...USUAL, quotas, rate };
  SEEDS.forEach((seed) => {
    const tallies = simulate(load, createSeededRandom(seed));
    lowered.forEach((quota) => {
      const name = `${quota.name}, seed ${seed}`;
      const { admittedAtMs, owedAtMs } = tallies.get(quota.name) ?? assert.fail(quota.name);
      const during = admittedAtMs.filter((atMs) => atMs > 8_500 && atMs < 14_000);
      const isAfter = (atMs: number): boolean => atMs >= 14_500 && atMs < 19_500;
      const served = admittedAtMs.filter(isAfter).length / owedAtMs.filter(isAfter).length;
      t.comment(`${name}: served ${served.toFixed(2)} after the quota was raised`);
      t.ok(during.length < computeBound(quota), `${name} is lowered`);
      t.ok(served >= MIN_SERVED, `${name} is raised`);
    });
  });
});
