import { AdmissionPolicy } from './AdmissionPolicy.js';

import type WorkspaceShares from '../WorkspaceShares/index.js';
import type { SlotDemand, WaitingRequest } from './AdmissionPolicy.js';

/** Part of the distance between two ranks by which an excess level lowers a request. */
const LEVEL_STEP = 0.25;

/**
 * Orders requests as another policy does, and those of equal rank by the excess of their workspaces.
 * A workspace that is hardly served precedes, so that none starves behind more urgent ones.
 */
export default class FairSharePolicy extends AdmissionPolicy {
  readonly #inner: AdmissionPolicy;

  readonly #shares: WorkspaceShares;

  constructor(inner: AdmissionPolicy, shares: WorkspaceShares) {
    super();
    this.#inner = inner;
    this.#shares = shares;
  }

  override computeRank(demand: SlotDemand): number {
    if (demand.workspace === undefined) return this.#inner.computeRank(demand);
    const { excessLevel, isStarved } = this.#shares.getStanding(demand.workspace);
    if (isStarved) return this.#inner.computeRank({ ...demand, priority: 0 });
    if (excessLevel === 0) return this.#inner.computeRank(demand);
    // The callers that a workspace in excess had refused do not precede those of others.
    const rank = this.#inner.computeRank({ ...demand, isReturn: false });
    return rank + excessLevel * LEVEL_STEP;
  }

  override getReservedSlots(capacity: number): number {
    return this.#inner.getReservedSlots(capacity);
  }

  override getQueueLimit(slots: number): number {
    return this.#inner.getQueueLimit(slots);
  }

  override wouldBeLate(demand: SlotDemand, waitMs: number, nowMs: number): boolean {
    return this.#inner.wouldBeLate(demand, waitMs, nowMs);
  }

  override selectNext<T extends WaitingRequest>(
    admissible: T[],
    facts: { admittedCount: number; nowMs: number },
  ): T | undefined {
    return this.#inner.selectNext(admissible, facts);
  }

  override recordDecision(demand: SlotDemand, isServed: boolean): void {
    this.#inner.recordDecision(demand, isServed);
    if (demand.workspace !== undefined) this.#shares.add(demand.workspace, isServed);
  }
}
