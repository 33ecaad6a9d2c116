import { AdmissionPolicy } from './AdmissionPolicy.js';

import type { SlotDemand, WaitingRequest } from './AdmissionPolicy.js';

const DEFAULT_QUEUE_PER_SLOT = 2;
/** Share of the slots that slow requests cannot use. */
const RESERVED_SHARE = 0.25;
/** The oldest slow request is served first once in this many admissions, to avoid starvation. */
const SLOW_TURN_INTERVAL = 8;

/**
 * Serves quick requests before slow ones, and first attempts before retries. Slow requests cannot
 * use the reserved slots.
 */
export default class QuickFirstPolicy extends AdmissionPolicy {
  readonly #queuePerSlot: number;

  /** @param queuePerSlot - number of requests that may wait per slot */
  constructor(queuePerSlot: number = DEFAULT_QUEUE_PER_SLOT) {
    super();
    this.#queuePerSlot = queuePerSlot;
  }

  override computeRank(demand: SlotDemand): number {
    return (demand.isSlow ? 2 : 0) + (demand.isRetry ? 1 : 0);
  }

  override getReservedSlots(capacity: number): number {
    return capacity < 2 ? 0 : Math.max(1, Math.floor(capacity * RESERVED_SHARE));
  }

  override getQueueLimit(slots: number): number {
    return slots * this.#queuePerSlot;
  }

  override wouldBeLate(demand: SlotDemand, waitMs: number, nowMs: number): boolean {
    return nowMs + waitMs + (demand.minServiceMs ?? 0) > demand.deadlineMs;
  }

  override selectNext<T extends WaitingRequest>(
    admissible: T[],
    { admittedCount }: { admittedCount: number },
  ): T | undefined {
    const isSlowTurn = admittedCount % SLOW_TURN_INTERVAL === SLOW_TURN_INTERVAL - 1;
    const oldestSlow = isSlowTurn
      ? admissible.find(({ demand }) => demand.isSlow && !demand.isRetry)
      : undefined;
    return (
      oldestSlow ??
      admissible.reduce<T | undefined>(
        (best, waiter) => (best && best.rank <= waiter.rank ? best : waiter),
        undefined,
      )
    );
  }
}
