import { AdmissionPolicy } from './AdmissionPolicy.js';

import type { SlotDemand, WaitingRequest } from './AdmissionPolicy.js';

/** Bounds the memory of a queue; the objectives bound its waiting time. */
const QUEUE_PER_SLOT = 4;
/** Of a request without a priority. */
const DEFAULT_PRIORITY = 9;
/** Bounds the rank. */
const LOWEST_PRIORITY = 99_999;

/**
 * Returns the time by which a request should be complete. For a brief request that is its deadline:
 * it is usually a call of a request that holds a slot elsewhere and fails if the call is refused.
 */
const getCompletionTarget = ({ objectiveAtMs, deadlineMs, isBrief = false }: SlotDemand): number =>
  isBrief ? deadlineMs : Math.min(objectiveAtMs ?? deadlineMs, deadlineMs);

/** Factor on the expected wait, which varies; refusing immediately is better than after a wait. */
const WAIT_MARGIN = 1.5;
/** Factor on the mean service time that covers most of its variation. */
const SERVICE_MARGIN = 1.3;

/** Returns the latest time to start a request that is still expected to meet its objective. */
const computeLatestStart = (demand: SlotDemand): number =>
  getCompletionTarget(demand) - (demand.meanServiceMs ?? 0) * SERVICE_MARGIN;

/**
 * Serves requests by priority, then retries of refused callers, then by the latest start time.
 *
 * Suited to load beyond the slots: a request that is not expected to meet its objective is refused
 * immediately, so that the slots serve requests that meet theirs. It gets a slot only if no other
 * request can use it.
 */
export default class ObjectivePolicy extends AdmissionPolicy {
  override computeRank({ priority, isReturn }: SlotDemand): number {
    return Math.min(priority ?? DEFAULT_PRIORITY, LOWEST_PRIORITY) * 2 + (isReturn ? 0 : 1);
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
