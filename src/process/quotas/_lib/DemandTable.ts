/** Recent demand and spending of one workspace, by node. */
import type { UsageCount } from '../types.js';

const MS_PER_SECOND = 1_000;
/** Time constant over which demand is forgotten. */
const DEMAND_DECAY_MS = 1_500;
/** The same for admissions: what is not reported yet is estimated from the last ones. */
const ADMISSION_DECAY_MS = 500;
/**
 * Demand that a node without recent requests counts for, in requests, and its limit as a share of the
 * mean. Without it the first request at a node would find no share; a higher share would take too
 * much from a workspace whose callers all use one node.
 */
const PRIOR_REQUESTS = 0.5;
const PRIOR_SHARE = 0.25;

interface NodeDemand {
  incarnation: bigint;
  offered: number;
  admitted: number;
  /** Decaying count of offered requests. */
  demand: number;
  /** Requests that were assumed to be admitted while the node was out of touch. */
  assumed: number;
  /** Part of the quota that the node had when it was last in touch. */
  frozenPart: number;
}

/** Division of the demand among this control VM and all of them. */
export interface DemandTotals {
  /** Decaying count of offered requests over all nodes. */
  demand: number;
  /** The same over the nodes attached here. */
  ownDemand: number;
  /** Demand that a node counts for in addition to its own. */
  prior: number;
}

/** Usual time between two computations. */
const ROUND_MS = 250;

/** Returns the part that has not faded of requests that came evenly over a time. */
const computeUnfaded = (elapsedMs: number, decayMs: number): number =>
  ((1 - Math.exp(-elapsedMs / decayMs)) * decayMs) / elapsedMs;

/**
 * Returns the weight of requests that came within a time: 1 if that is not unusually long. Without
 * it, the requests of a pause of this process would look like a burst.
 */
const computeFreshPart = (elapsedMs: number, decayMs: number): number =>
  elapsedMs <= ROUND_MS
    ? 1
    : computeUnfaded(elapsedMs, decayMs) / computeUnfaded(ROUND_MS, decayMs);

/** Counts the demand of one workspace at each node from reports whose counts only grow. */
export default class DemandTable {
  readonly #nodes = new Map<string, NodeDemand>();

  /** Decaying count of admitted requests over all nodes. */
  #admitted = 0;

  #hasAssumed = false;

  /** Parts of the requests since the last computation that have not faded. */
  #demandPart = 1;

  #admissionPart = 1;

  /** Requests per second over all nodes that were admitted lately. */
  get admittedPerSecond(): number {
    return (this.#admitted * MS_PER_SECOND) / ADMISSION_DECAY_MS;
  }

  /** Demand of a node without the prior. */
  getDemand(nodeId: string): number {
    return this.#nodes.get(nodeId)?.demand ?? 0;
  }

  /** Requests per second that a decaying count stands for. */
  static toRate(count: number): number {
    return (count * MS_PER_SECOND) / DEMAND_DECAY_MS;
  }

  /**
   * Lets the demand of nodes that are in touch fade. That of the others stays, since the nodes go on
   * with the shares that they had.
   */
  fade(elapsedMs: number, isInTouch: (nodeId: string) => boolean): void {
    const factor = Math.exp(-elapsedMs / DEMAND_DECAY_MS);
    this.#demandPart = computeFreshPart(elapsedMs, DEMAND_DECAY_MS);
    this.#admissionPart = computeFreshPart(elapsedMs, ADMISSION_DECAY_MS);
    this.#admitted *= Math.exp(-elapsedMs / ADMISSION_DECAY_MS);
    this.#nodes.forEach((entry, nodeId) => {
      const kept = entry;
      if (isInTouch(nodeId)) kept.demand *= factor;
    });
  }

  /**
   * Adds what a node has counted since its former report.
   *
   * @param origin - node, the start of its process, and whether a node that is new here began to
   *   count since this control VM watches
   * @param count - counts of the node since its start
   * @returns requests admitted since the former report
   */
  add(
    origin: { nodeId: string; incarnation: bigint; isBaseKnown: boolean },
    count: UsageCount,
  ): number {
    const { nodeId, incarnation, isBaseKnown } = origin;
    const offered = Number(count.offered);
    const admitted = Number(count.admitted);
    const entry = this.#getNode(nodeId, {
      incarnation,
      offered: isBaseKnown ? 0 : offered,
      admitted: isBaseKnown ? 0 : admitted,
    });
    const isSameProcess = entry.incarnation === incarnation;
    const spent = Math.max(0, admitted - (isSameProcess ? entry.admitted : 0));
    const arrived = Math.max(0, offered - (isSameProcess ? entry.offered : 0));
    entry.demand += arrived * this.#demandPart;
    this.#admitted += spent * this.#admissionPart;
    Object.assign(entry, { incarnation, offered, admitted });
    return spent;
  }

  /** Forgets the demand of nodes that may admit nothing any more. Their counts remain. */
  clear(isInactive: (nodeId: string) => boolean): void {
    this.#nodes.forEach((entry, nodeId) => {
      const cleared = entry;
      if (isInactive(nodeId)) cleared.demand = 0;
    });
  }

  /** Notes the part of the quota that a node has as it goes out of touch. */
  freeze(nodeId: string, part: number): void {
    this.#getNode(nodeId, { incarnation: 0n, offered: 0, admitted: 0 }).frozenPart = part;
  }

  /**
   * Assumes that a node that is out of touch has admitted its part of requests.
   *
   * @returns the number of requests assumed
   */
  assume(nodeId: string, requests: number): number {
    const entry = this.#getNode(nodeId, { incarnation: 0n, offered: 0, admitted: 0 });
    const assumed = requests * entry.frozenPart;
    entry.assumed += assumed;
    this.#hasAssumed ||= assumed > 0;
    return assumed;
  }

  /** Returns the requests assumed of a node that is in touch again, whose counts are known now. */
  takeAssumed(nodeId: string): number {
    if (!this.#hasAssumed) return 0;
    const entry = this.#nodes.get(nodeId);
    const assumed = entry?.assumed ?? 0;
    if (entry) entry.assumed = 0;
    return assumed;
  }

  /** Forgets nodes that are gone. */
  retain(isKnown: (nodeId: string) => boolean): void {
    this.#nodes.forEach((_entry, nodeId) => {
      if (!isKnown(nodeId)) this.#nodes.delete(nodeId);
    });
  }

  /**
   * Sums the demand.
   *
   * @param nodeCount - nodes that may admit requests
   * @param isOwn - whether a node is attached to this control VM
   */
  sum(nodeCount: number, isOwn: (nodeId: string) => boolean): DemandTotals {
    const totals = { demand: 0, ownDemand: 0 };
    this.#nodes.forEach(({ demand }, nodeId) => {
      totals.demand += demand;
      if (isOwn(nodeId)) totals.ownDemand += demand;
    });
    const mean = totals.demand / Math.max(1, nodeCount);
    const prior = totals.demand === 0 ? 1 : Math.min(PRIOR_REQUESTS, mean * PRIOR_SHARE);
    return { ...totals, prior };
  }

  #getNode(
    nodeId: string,
    counts: Pick<NodeDemand, 'incarnation' | 'offered' | 'admitted'>,
  ): NodeDemand {
    const known = this.#nodes.get(nodeId);
    if (known) return known;
    const entry = { ...counts, demand: 0, assumed: 0, frozenPart: 0 };
    this.#nodes.set(nodeId, entry);
    return entry;
  }
}
