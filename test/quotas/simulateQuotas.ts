/** Simulates nodes with limiters and control VMs with share computers, to count what they admit together. */
import { create } from '@bufbuild/protobuf';

import { WorkspaceSchema } from '../../src/_generated/foxtailvane/v1/configuration_pb.js';
import ShareComputer from '../../src/process/quotas/ShareComputer/index.js';
import WorkspaceLimiter from '../../src/request/limitWorkspaces/index.js';

import type { NodeUsage, Quota } from '../../src/process/quotas/types.js';

export const BOUNDS = { windowS: 5, overage: 0.1, slack: 20 };
const STEP_MS = 10;
const ROUND_MS = 250;
const KEY_LIFETIME_MS = 3_000;
export const MEMBERS = 3;
/** Time without demand at the start, in which nodes and control VMs learn of each other. */
const START_MS = 2_500;
/** Time for which a request waits at a server before it is refused. */
const REFUSED_AFTER_MS = 300;

export interface Load {
  nodeCount: number;
  quotas: (nowMs: number) => Quota[];
  /** Requests per second of a workspace over all nodes. */
  rate: (quota: Quota, nowMs: number) => number;
  /** Index of the node that a request enters at. */
  pickNode: (quota: Quota, random: number, nowMs: number) => number;
  /** Whether a message between a node or control VM and a control VM is lost. */
  isLost?: (from: number, member: number, nowMs: number, random: number) => boolean;
  /** Control VMs that do nothing at a time, while their connections stay open. */
  isFrozen?: (member: number, nowMs: number) => boolean;
  /** Control VMs whose process does not run: their connections end, and they start without counts. */
  isDown?: (member: number, nowMs: number) => boolean;
  /** Times at which a node or a control VM starts anew. */
  restartsNode?: (index: number, nowMs: number) => boolean;
  restartsMember?: (member: number, nowMs: number) => boolean;
  /** Whether the servers refuse a request that was admitted, as not run. */
  isRefused?: (random: number) => boolean;
  /** Time for which nodes accept keys without a confirmation. */
  keyLifetimeMs?: number;
  lengthMs?: number;
}

export interface Tally {
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

/** Runs limiters and share computers in simulated time; messages take one step. */
export const simulate = (load: Load, random: () => number): Map<string, Tally> => {
  const { nodeCount, isLost = () => false, lengthMs = 20_000 } = load;
  const { keyLifetimeMs = KEY_LIFETIME_MS } = load;
  const workspace = (quota: Quota) => create(WorkspaceSchema, quota);
  const tallies = new Map<string, Tally>();
  const createMember = (index: number) => ({
    computer: new ShareComputer({
      memberId: `c${index}`,
      bounds: BOUNDS,
      keyLifetimeMs,
    }),
    known: new Map<string, NodeUsage>(),
    isConfirmed: true,
    computedAtMs: 0,
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
  const compute = (index: number, nowMs: number): void => {
    const isDown = load.isDown?.(index, nowMs) ?? false;
    if (isDown || load.restartsMember?.(index, nowMs)) members[index] = createMember(index);
    if (isDown || load.isFrozen?.(index, nowMs)) return;
    const self = members[index];
    if (!self) return;
    members.forEach((other, otherIndex) => {
      if (load.isDown?.(otherIndex, nowMs)) return;
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
    self.computedAtMs = nowMs;
  };
  const report = (index: number, nowMs: number): void => {
    const node = nodes[index];
    if (!node) return;
    const isCut = (member: number): boolean =>
      (load.isFrozen?.(member, nowMs) ?? false) || isLost(index, member, nowMs, random());
    const hasEnded = load.isDown?.(node.member, nowMs) ?? false;
    if (hasEnded || nowMs - node.answeredAtMs > 1_000) {
      node.limiter.release();
      node.member = (node.member + 1) % MEMBERS;
    }
    if (load.isDown?.(node.member, nowMs) || isCut(node.member)) return;
    node.answeredAtMs = nowMs;
    if (members[node.member]?.isConfirmed) node.confirmedAtMs = nowMs;
    const { nodeId, incarnation, member } = node;
    const usage = node.limiter.collectUsage().map((count) => ({ ...count }));
    const entry = { nodeId, incarnation, usage, memberId: `c${member}`, seenAtMs: nowMs };
    members[member]?.known.set(nodeId, entry);
    // A control VM computes before it answers, also as the first thing after a pause.
    if (nowMs - (members[member]?.computedAtMs ?? 0) > ROUND_MS) compute(member, nowMs);
    const shares = members[member]?.computer.computeShares(nodeId);
    if (shares === undefined) return;
    const quotaShares = shares.map((share) => ({
      ...share,
      $typeName: 'foxtailvane.v1.QuotaShare',
    }));
    node.limiter.adopt({ shares: quotaShares as never }, nowMs);
  };
  const send = (quota: Quota, nowMs: number): void => {
    const node = nodes[load.pickNode(quota, random(), nowMs)];
    if (!node || nowMs - node.confirmedAtMs > keyLifetimeMs) return;
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

export const computeBound = ({ ratePerSecond, burst }: Quota): number =>
  (ratePerSecond * BOUNDS.windowS + burst) * (1 + BOUNDS.overage) + BOUNDS.slack;

/** Returns the highest number of requests in a window that ran, as a share of what is allowed. */
export const computeHighestUse = (quota: Quota, { ranAtMs }: Tally): number => {
  let first = 0;
  const highest = ranAtMs.reduce((most, atMs, index) => {
    while ((ranAtMs[first] ?? atMs) <= atMs - BOUNDS.windowS * 1_000) first += 1;
    return Math.max(most, index - first + 1);
  }, 0);
  return highest / computeBound(quota);
};
