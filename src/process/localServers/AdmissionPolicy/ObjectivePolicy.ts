import { AdmissionPolicy } from './AdmissionPolicy.js';

import type { SlotDemand, WaitingRequest } from './AdmissionPolicy.js';

/** Bounds the memory of a queue; its length in time is bounded by the objectives. */
const QUEUE_PER_SLOT = 4;
const LOWEST_PRIORITY = 9;

/**
 * Time by which a request is to be complete. A brief one is worth its slot up to its deadline: it is
 * mostly a call of a request that already holds a slot elsewhere, and fails with it.
 */
const getCompletionTarget = ({ objectiveAtMs, deadlineMs, isBrief = false }: SlotDemand): number =>
  isBrief ? deadlineMs : Math.min(objectiveAtMs ?? deadlineMs, deadlineMs);

/** Waits vary; a request that is refused after a wait would better have been refused at once. */
const WAIT_MARGIN = 1.5;
/** Service times vary; this many times the mean covers most of them. */
const SERVICE_MARGIN = 1.3;

/** Latest time at which a request can take a slot and still be expected to meet its objective. */
const computeLatestStart = (demand: SlotDemand): number =>
  getCompletionTarget(demand) - (demand.meanServiceMs ?? 0) * SERVICE_MARGIN;

/**
 * For load beyond the slots: urgent requests precede others; within a priority those whose caller was
 * refused before, then the one that has to start first. A request that is not expected to meet its objective is refused at once, because
 * the slots are better used by one that does; it takes a slot only if nobody else wants it.
 */
export default class ObjectivePolicy extends AdmissionPolicy {
  override computeRank({ priority, isReturn }: SlotDemand): number {
    return Math.min(priority ?? LOWEST_PRIORITY, LOWEST_PRIORITY) * 2 + (isReturn ? 0 : 1);
  }

  override getReservedSlots(): number {
    return 0;
  }

  override getQueueLimit(slots: number): number {
    return slots * QUEUE_PER_SLOT;
  }

  override wouldBeLate(demand: SlotDemand, waitMs: number, nowMs: number): boolean {
    return nowMs + waitMs * WAIT_MARGIN > computeLatestStart(demand);
  }

  override selectNext<T extends WaitingRequest>(
    admissible: T[],
    { nowMs }: { nowMs: number },
  ): T | undefined {
    const isTimely = ({ demand }: T): boolean => computeLatestStart(demand) >= nowMs;
    const precedes = (left: T, right: T): boolean => {
      if (isTimely(left) !== isTimely(right)) return isTimely(left);
      if (left.rank !== right.rank) return left.rank < right.rank;
      return computeLatestStart(left.demand) < computeLatestStart(right.demand);
    };
    return admissible.reduce<T | undefined>(
      (best, waiter) => (best && !precedes(waiter, best) ? best : waiter),
      undefined,
    );
  }
}
