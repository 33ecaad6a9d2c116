import ObjectivePolicy from './ObjectivePolicy.js';

import type { SlotDemand, WaitingRequest } from './AdmissionPolicy.js';

/** Ranks that precede those of all new requests. */
const CALL_RANKS = 1;

/**
 * Serves calls of running requests before new requests, and those as `ObjectivePolicy` does.
 *
 * Answers load in which requests hold a slot while their calls wait at another service. If calls are
 * refused there or wait behind new work, the slots of the callers fill with requests that end at their
 * deadline, and the retries of their clients keep it so.
 */
export default class ExpectedCostPolicy extends ObjectivePolicy {
  override computeRank(demand: SlotDemand): number {
    return demand.isCall ? 0 : CALL_RANKS + super.computeRank(demand);
  }

  /** A call has no target of its own: it is useful as long as its parent can still be answered. */
  override wouldBeLate(demand: SlotDemand, waitMs: number, nowMs: number): boolean {
    if (!demand.isCall) return super.wouldBeLate(demand, waitMs, nowMs);
    return nowMs + (demand.minServiceMs ?? 0) > demand.deadlineMs;
  }

  /** Of several calls, the one whose parent runs out of time first is served first. */
  override selectNext<T extends WaitingRequest>(
    admissible: T[],
    facts: { nowMs: number },
  ): T | undefined {
    const [first, ...others] = admissible.filter(({ demand }) => demand.isCall);
    if (!first) return super.selectNext(admissible, facts);
    return others.reduce(
      (best, call) => (call.demand.deadlineMs < best.demand.deadlineMs ? call : best),
      first,
    );
  }
}
