/** Recent demand and spending of one workspace, by node. */
import type { UsageCount } from '../types.js';
import type NodeContact from './NodeContact.js';

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
  contact: NodeContact;
  /** The counts as they were last added. */
  count: UsageCount | undefined;
  incarnation: bigint;
  offered: number;
  /** Admitted requests that ran or may still run. */
  used: number;
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

  #hasUnknownPast = false;

  /** Parts of the requests since the last computation that have not faded. */
  #demandPart = 1;

  #admissionPart = 1;

  /** Requests per second over all nodes that were admitted lately. */
  get admittedPerSecond(): number {
    return (this.#admitted * MS_PER_SECOND) / ADMISSION_DECAY_MS;
  }

  /** Whether nodes had counted requests before this control VM watched, at an unknown time. */
  get hasUnknownPast(): boolean {
    return this.#hasUnknownPast;
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
   * Lets the demand of nodes that are in touch fade, and forgets nodes that are gone. The demand of
   * silent nodes stays, since they go on with the shares that they had. Nodes that may admit nothing
   * any more have none; their counts remain.
   */
  fade(elapsedMs: number): void {
    const factor = Math.exp(-elapsedMs / DEMAND_DECAY_MS);
    this.#demandPart = computeFreshPart(elapsedMs, DEMAND_DECAY_MS);
    this.#admissionPart = computeFreshPart(elapsedMs, ADMISSION_DECAY_MS);
    this.#admitted *= Math.exp(-elapsedMs / ADMISSION_DECAY_MS);
    this.#nodes.forEach((entry, nodeId) => {
      const kept = entry;
      const { isKnown, isActive, isSilent } = entry.contact;
      if (!isKnown) this.#nodes.delete(nodeId);
      else if (!isActive) kept.demand = 0;
      else if (!isSilent) kept.demand *= factor;
    });
  }

  /**
   * Adds what a node has counted since its former report.
   *
   * @param contact - the node
   * @param count - counts of the node since its start; the same object as before if they are the same
   * @param isBaseKnown - whether what is new here was counted since an earlier report of the node
   * @returns requests admitted since the former report, less those that did not run; may be negative
   */
  add(contact: NodeContact, count: UsageCount, isBaseKnown: boolean): number {
    const { incarnation } = contact;
    const entry = this.#getNode(contact);
    if (entry.count === count && entry.incarnation === incarnation) return 0;
    const offered = Number(count.offered);
    const used = Number(count.admitted - count.returned);
    if (entry.count === undefined && !isBaseKnown) {
      this.#hasUnknownPast = true;
      Object.assign(entry, { incarnation, offered, used });
    }
    const isSameProcess = entry.incarnation === incarnation;
    // What the former process admitted after its last report stays assumed, as it is never reported.
    if (!isSameProcess) entry.assumed = 0;
    const spent = used - (isSameProcess ? entry.used : 0);
    const arrived = Math.max(0, offered - (isSameProcess ? entry.offered : 0));
    entry.demand += arrived * this.#demandPart;
    this.#admitted = Math.max(0, this.#admitted + spent * this.#admissionPart);
    Object.assign(entry, { incarnation, offered, used, count });
    return spent;
  }

  /** Notes the part of the quota that a node has as it goes out of touch. */
  freeze(contact: NodeContact, part: number): void {
    this.#getNode(contact).frozenPart = part;
  }

  /**
   * Assumes that a node that is out of touch has admitted its part of requests.
   *
   * @returns the number of requests assumed
   */
  assume(contact: NodeContact, requests: number): number {
    const entry = this.#getNode(contact);
    const assumed = requests * entry.frozenPart;
    entry.assumed += assumed;
    this.#hasAssumed ||= assumed > 0;
    return assumed;
  }

  /** Returns the requests assumed of nodes that are in touch again, whose counts are known now. */
  takeAssumed(): number {
    if (!this.#hasAssumed) return 0;
    let taken = 0;
    this.#hasAssumed = false;
    this.#nodes.forEach((entry) => {
      const { contact, assumed } = entry;
      if (contact.isActive && !contact.isSilent) {
        taken += assumed;
        Object.assign(entry, { assumed: 0 });
      } else if (assumed > 0) this.#hasAssumed = true;
    });
    return taken;
  }

  /**
   * Sums the demand.
   *
   * @param nodeCount - nodes that may admit requests
   */
  sum(nodeCount: number): DemandTotals {
    let demand = 0;
    let ownDemand = 0;
    this.#nodes.forEach((entry) => {
      demand += entry.demand;
      if (entry.contact.isOwn) ownDemand += entry.demand;
    });
    const mean = demand / Math.max(1, nodeCount);
    const prior = demand === 0 ? 1 : Math.min(PRIOR_REQUESTS, mean * PRIOR_SHARE);
    return { demand, ownDemand, prior };
  }

  #getNode(contact: NodeContact): NodeDemand {
    const known = this.#nodes.get(contact.nodeId);
    if (known) return known;
    const counts = { incarnation: contact.incarnation, offered: 0, used: 0 };
    const entry = {
      ...{ contact, count: undefined, ...counts },
      ...{ demand: 0, assumed: 0, frozenPart: 0 },
    };
    this.#nodes.set(contact.nodeId, entry);
    return entry;
  }
}
