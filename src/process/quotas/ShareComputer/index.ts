/** Divides the quotas of workspaces among the nodes by their recent demand. */
import DemandTable from '../_lib/DemandTable.js';
import QuotaPool from '../_lib/QuotaPool.js';

import type NodeContact from '../_lib/NodeContact.js';
import type { NodeShare, NodeUsage, Quota, QuotaBounds } from '../types.js';

const MS_PER_SECOND = 1_000;
/** Silence after which a node or control VM counts as out of touch. */
const OUT_OF_TOUCH_MS = 1_000;
/** Time without a computation, because this process was suspended or there were no requests. */
const PAUSE_MS = 1_000;
/** Part of the rate up to which demand shows that the quota is not used up. */
const MODEST_SHARE = 0.7;
/** Time after a pause in which the reports of all nodes arrive, by way of other control VMs too. */
const READING_MS = 700;
/** Time after the start in which nodes attach and report, before the first shares. */
const LEARNING_MS = 1_200;
/** Computations with a leader before the first shares: the first one still has a part of zero. */
const MIN_CONFIRMED_ROUNDS = 2;
/** Part of the rate of a second, and of the pool, that nodes may hold unused. */
const HELD_RATE_S = 0.1;
const HELD_POOL_SHARE = 0.25;
/**
 * A node that gets less than one request per second is refilled faster, up to this factor, since a
 * request may come earlier than its turn. The burst below 1 keeps the sum of all nodes.
 */
const SPARSE_FACTOR = 8;
const SPARSE_RATE = 1;
/**
 * While the pool is above the first share of its size, up to the second, every node gets an equal
 * additional rate, since demand that moves reaches a node before the reports of it reach the shares.
 */
const ROOM_FROM_SHARE = 0.2;
const ROOM_TO_SHARE = 0.5;
const ROOM_RATE_FACTOR = 4;
/** Small quotas are left to the nodes while the pool is above the first share, again above the second. */
const TIGHT_SHARE = 0.5;
const RELAXED_SHARE = 0.8;
/** Relative change below which nodes keep the share that they have. */
const MIN_CHANGE = 0.2;

/** What a control VM knows at one time. */
export interface ShareInput {
  nodes: readonly NodeUsage[];
  quotas: readonly Quota[];
  /** Whether this control VM has heard from a leader within the lease. */
  isConfirmed: boolean;
  /** Other control VMs that have not been heard from for a while. */
  silentMemberIds: ReadonlySet<string>;
  /** Least number of nodes that may admit requests, as far as known without their reports. */
  minNodeCount?: number;
}

export interface ShareComputerOptions {
  memberId: string;
  bounds: QuotaBounds;
  /** Time for which a node that has no way to a control VM goes on to accept keys. */
  keyLifetimeMs: number;
}

/** Nodes that may use their shares unseen. */
interface Silence {
  contacts: readonly NodeContact[];
  /** Those that were in touch at the last computation. */
  newContacts: ReadonlySet<NodeContact>;
}

/** Which counts this control VM has. */
interface Readiness {
  /** Nodes still attach and report after the start. */
  isLearning: boolean;
  /**
   * Whether the reports of the last pause have arrived. Until then, what it has earned and what was
   * used are known in part only, and not in their order.
   */
  areReportsRead: boolean;
}

interface WorkspaceState {
  pool: QuotaPool;
  demand: DemandTable;
  /** Part of the quota that the nodes attached here may use, at the last two computations. */
  fraction: number | undefined;
  formerFraction: number | undefined;
  isTight: boolean;
  grantedRate: number;
  available: number;
  prior: number;
  /** Decaying count of offered requests over all nodes. */
  totalDemand: number;
  /** Sum of demand and priors of all nodes. */
  totalWeight: number;
  /** The same of the nodes attached here. */
  ownWeight: number;
  /** Probability with which a node that gets few requests may admit one. */
  singleProbability: number;
  /** How far the quota is unused, from 0 to 1. */
  room: number;
  nodeCount: number;
}

/** State of one workspace for operators. */
export interface WorkspaceStatus {
  workspace: string;
  ratePerSecond: number;
  offeredPerSecond: number;
  admittedPerSecond: number;
  /** Requests that may come at once now. */
  left: number;
  isTight: boolean;
}

const isClose = (left: number, right: number): boolean =>
  Math.abs(left - right) <= MIN_CHANGE * Math.max(left, right);

/**
 * Computes the shares of the nodes attached to one control VM.
 *
 * Answers a demand that moves between nodes and data centres within a second while the sum over all
 * nodes has to stay within the quota. Each control VM computes alone, from the reports of all nodes.
 * The sum of all shares is the granted rate as long as they know the same. Where they do not, the
 * part of a control VM rises one computation after the demand behind it, and not at all while another
 * control VM is silent or it is not confirmed itself; it falls at once.
 *
 * While demand moves, the sum exceeds the quota by at most what nodes hold unused and what they admit
 * until the shares follow; the pool then goes below zero and less than the rate is granted.
 */
export default class ShareComputer {
  readonly #options: ShareComputerOptions;

  readonly #workspaces = new Map<string, WorkspaceState>();

  readonly #sent = new Map<string, Map<string, NodeShare>>();

  readonly #contacts = new Map<string, NodeContact>();

  #ownNodeCount = 0;

  #confirmedRounds = 0;

  #canGrant = false;

  #resumedAtMs = -Infinity;

  /** Time of the first computation with nodes and quotas. */
  #startedAtMs: number | undefined;

  #updatedAtMs = 0;

  constructor(options: ShareComputerOptions) {
    this.#options = options;
  }

  /**
   * Takes in the newest reports; to be called several times per second.
   *
   * @param input - reports, quotas and contacts as this control VM knows them
   * @param nowMs - present time in milliseconds, by a clock that does not step
   */
  update(input: ShareInput, nowMs: number): void {
    const elapsedMs = this.#updatedAtMs === 0 ? 0 : Math.max(0, nowMs - this.#updatedAtMs);
    this.#updatedAtMs = nowMs;
    const { isLearning, areReportsRead } = this.#updateReadiness(input, elapsedMs, nowMs);
    const silence = this.#updateContacts(input, nowMs);
    this.#adoptQuotas(input.quotas, !isLearning);
    this.#workspaces.forEach(({ demand, pool }) => {
      demand.fade(elapsedMs);
      pool.refill(elapsedMs);
      if (areReportsRead) pool.settle();
    });
    input.nodes.forEach((node) => this.#count(node));
    const activeCount = [...this.#contacts.values()].filter(({ isActive }) => isActive).length;
    const nodeCount = Math.max(activeCount, input.minNodeCount ?? 1);
    const mayRise = input.isConfirmed && input.silentMemberIds.size === 0;
    this.#workspaces.forEach((state) => {
      const { pool, demand } = state;
      pool.spend(-demand.takeAssumed());
      if (areReportsRead) pool.settle();
      if (isLearning && ShareComputer.#mayBeUsedUp(state)) pool.drain();
      this.#assumeSpending(state, silence, elapsedMs);
      this.#divide(state, nodeCount, mayRise);
    });
    this.#sent.forEach((_shares, nodeId) => {
      if (!this.#contacts.get(nodeId)?.isOwn) this.#sent.delete(nodeId);
    });
  }

  /**
   * Returns the shares of a node. A workspace with a small quota that is little used has none, and
   * the node admits its requests up to the quota.
   *
   * @param nodeId - a node that is attached to this control VM
   * @returns undefined while this control VM lacks the counts to grant anything: after its start, and
   *   after a pause
   */
  computeShares(nodeId: string): NodeShare[] | undefined {
    if (!this.#canGrant) return undefined;
    const sent = this.#sent.get(nodeId) ?? new Map<string, NodeShare>();
    this.#sent.set(nodeId, sent);
    return [...this.#workspaces].flatMap(([name, state]) => {
      if (!this.#isDivided(state)) {
        sent.delete(name);
        return [];
      }
      const share = this.#computeShare(name, state, nodeId);
      const former = sent.get(name);
      const isKept =
        former !== undefined &&
        isClose(former.ratePerSecond, share.ratePerSecond) &&
        isClose(former.burst, share.burst);
      if (isKept) return [former];
      sent.set(name, share);
      return [share];
    });
  }

  /** Returns the use of each quota, for operators. */
  list(): WorkspaceStatus[] {
    return [...this.#workspaces].map(([workspace, state]) => ({
      workspace,
      ratePerSecond: state.pool.quota.ratePerSecond,
      offeredPerSecond: DemandTable.toRate(state.totalDemand),
      admittedPerSecond: state.demand.admittedPerSecond,
      left: Math.max(0, state.available),
      isTight: state.isTight,
    }));
  }

  /** Notes which nodes are in touch, and returns those that may use their shares unseen. */
  #updateContacts({ nodes, silentMemberIds }: ShareInput, nowMs: number): Silence {
    const { memberId, keyLifetimeMs } = this.#options;
    this.#contacts.forEach((contact) => Object.assign(contact, { isKnown: false, isOwn: false }));
    const newContacts = new Set<NodeContact>();
    nodes.forEach(({ nodeId, incarnation, memberId: owner, seenAtMs }) => {
      const silentMs = nowMs - seenAtMs;
      // A node that is out of touch for longer accepts no keys, so its part is free.
      const isActive = silentMs < keyLifetimeMs + OUT_OF_TOUCH_MS;
      const isOutOfTouch = silentMs >= OUT_OF_TOUCH_MS || silentMemberIds.has(owner);
      const isSilent = isActive && isOutOfTouch;
      const isOwn = isActive && owner === memberId;
      const contact = this.#contacts.get(nodeId) ?? {
        ...{ nodeId, isSilent: false, hasReported: false },
      };
      const state = { nodeId, incarnation, isKnown: true, isActive, isSilent, isOwn };
      const wasSilent = contact.isSilent;
      const updated = Object.assign(contact, state);
      if (isSilent && !wasSilent) newContacts.add(updated);
      this.#contacts.set(nodeId, updated);
    });
    const known = [...this.#contacts.values()].filter(({ isKnown }) => isKnown);
    this.#contacts.forEach(({ isKnown }, nodeId) => {
      if (!isKnown) this.#contacts.delete(nodeId);
    });
    this.#ownNodeCount = known.filter(({ isOwn }) => isOwn).length;
    return { contacts: known.filter(({ isSilent }) => isSilent), newContacts };
  }

  #adoptQuotas(quotas: readonly Quota[], isFull: boolean): void {
    const limited = new Map(
      quotas.filter(({ ratePerSecond }) => ratePerSecond > 0).map((quota) => [quota.name, quota]),
    );
    this.#workspaces.forEach((_state, name) => {
      if (!limited.has(name)) this.#workspaces.delete(name);
    });
    limited.forEach((quota, name) => {
      const known = this.#workspaces.get(name);
      if (known) known.pool.setQuota(quota);
      else this.#workspaces.set(name, this.#createState(quota, isFull));
    });
  }

  /** Updates whether this control VM has the counts that shares need. */
  #updateReadiness(input: ShareInput, elapsedMs: number, nowMs: number): Readiness {
    if (input.nodes.length > 0 && input.quotas.length > 0) this.#startedAtMs ??= nowMs;
    if (input.isConfirmed) this.#confirmedRounds += 1;
    if (elapsedMs > PAUSE_MS) this.#resumedAtMs = nowMs;
    const isLearning = nowMs - (this.#startedAtMs ?? nowMs) < LEARNING_MS;
    const areReportsRead = nowMs - this.#resumedAtMs >= READING_MS;
    const hasLeader = this.#confirmedRounds >= MIN_CONFIRMED_ROUNDS;
    this.#canGrant = !isLearning && areReportsRead && hasLeader;
    return { isLearning, areReportsRead };
  }

  /** Whether nodes may have used the quota up before this control VM counted: too much is asked for. */
  static #mayBeUsedUp({ demand, pool }: WorkspaceState): boolean {
    const offeredPerSecond = DemandTable.toRate(demand.sum(1).demand);
    return demand.hasUnknownPast && offeredPerSecond > MODEST_SHARE * pool.quota.ratePerSecond;
  }

  #createState(quota: Quota, isFull: boolean): WorkspaceState {
    const pool = new QuotaPool(quota, this.#options.bounds, isFull);
    return {
      pool,
      demand: new DemandTable(),
      fraction: undefined,
      formerFraction: undefined,
      isTight: false,
      grantedRate: quota.ratePerSecond,
      available: pool.level,
      prior: 0,
      totalDemand: 0,
      totalWeight: 0,
      ownWeight: 0,
      singleProbability: 1,
      room: 0,
      nodeCount: 1,
    };
  }

  #count({ nodeId, usage }: NodeUsage): void {
    const contact = this.#contacts.get(nodeId);
    if (!contact?.isActive) return;
    // A node may have counted for long before this control VM started or could reach it.
    const isBaseKnown = contact.hasReported;
    usage.forEach((count) => {
      const state = this.#workspaces.get(count.workspace);
      state?.pool.spend(state.demand.add(contact, count, isBaseKnown));
    });
    // Right after the start, the quotas are not known yet.
    contact.hasReported ||= usage.length > 0 && this.#workspaces.size > 0;
  }

  /**
   * Nodes that are out of touch are assumed to use their part of the pool and of the rate in full, as
   * the control VM on their side may grant it. What they did not use returns with their next report.
   */
  #assumeSpending(state: WorkspaceState, silence: Silence, elapsedMs: number): void {
    const { demand, pool } = state;
    const weight = state.totalWeight;
    if (silence.contacts.length === 0 || weight === 0) return;
    const earned = (pool.quota.ratePerSecond * elapsedMs) / MS_PER_SECOND;
    const level = Math.max(0, pool.level);
    silence.contacts.forEach((contact) => {
      const isNew = silence.newContacts.has(contact);
      const nodeWeight = demand.getDemand(contact.nodeId) + state.prior;
      if (isNew) demand.freeze(contact, nodeWeight / weight);
      pool.spend(demand.assume(contact, earned + (isNew ? level : 0)));
    });
  }

  #divide(state: WorkspaceState, nodeCount: number, mayRise: boolean): void {
    const target = state;
    const { pool, demand } = state;
    const totals = demand.sum(nodeCount);
    const ownWeight = totals.ownDemand + totals.prior * this.#ownNodeCount;
    const weight = totals.demand + totals.prior * nodeCount;
    const present = weight > 0 ? ownWeight / weight : 0;
    const former = state.formerFraction ?? present;
    const allowed = mayRise ? Math.min(present, former) : Math.min(present, state.fraction ?? 0);
    target.formerFraction = mayRise ? present : allowed;
    target.fraction = allowed;
    target.totalDemand = totals.demand;
    target.totalWeight = weight;
    target.ownWeight = ownWeight;
    target.prior = totals.prior;
    target.available = pool.computeAvailable(demand.admittedPerSecond);
    target.grantedRate = pool.computeGrantedRate(target.available);
    const fill = target.available / pool.size;
    const room = (fill - ROOM_FROM_SHARE) / (ROOM_TO_SHARE - ROOM_FROM_SHARE);
    target.room = Math.max(0, Math.min(1, room));
    target.nodeCount = Math.max(1, nodeCount);
    const ownRate = DemandTable.toRate(totals.ownDemand);
    target.singleProbability =
      ownRate > 0 ? Math.min(1, (target.grantedRate * allowed) / ownRate) : 1;
    const tightBelow = (state.isTight ? RELAXED_SHARE : TIGHT_SHARE) * pool.size;
    target.isTight = target.available < tightBelow;
  }

  /** Whether the quota is divided among the nodes, instead of left to each of them. */
  #isDivided({ pool, isTight }: WorkspaceState): boolean {
    return isTight || pool.quota.ratePerSecond > this.#options.bounds.slack;
  }

  #computeShare(workspace: string, state: WorkspaceState, nodeId: string): NodeShare {
    const { pool, demand, fraction = 0, grantedRate, available, singleProbability } = state;
    const weight = demand.getDemand(nodeId) + state.prior;
    const part = state.ownWeight > 0 ? (fraction * weight) / state.ownWeight : 0;
    const roomRate = (state.room * ROOM_RATE_FACTOR * pool.quota.ratePerSecond) / state.nodeCount;
    const rate = part * grantedRate + roomRate;
    const held = HELD_RATE_S * pool.quota.ratePerSecond + HELD_POOL_SHARE * Math.max(0, available);
    return {
      workspace,
      ratePerSecond: Math.max(rate, Math.min(SPARSE_FACTOR * rate, SPARSE_RATE)),
      burst: Math.max(part * held, singleProbability * (1 + state.room)),
    };
  }
}
