import { AdmissionPolicy } from './AdmissionPolicy.js';

import type { SlotDemand, WaitingRequest } from './AdmissionPolicy.js';

const DEFAULT_QUEUE_PER_SLOT = 2;
/** Share of the slots that slow routes cannot take. */
const RESERVED_SHARE = 0.25;
/** Every so many admissions the oldest slow request goes first, so that it is not starved. */
const SLOW_TURN_INTERVAL = 8;

/**
 * Quick requests precede slow ones and first attempts precede retries. Slow requests cannot take the
 * reserved share.
 */
export default class QuickFirstPolicy extends AdmissionPolicy {
  readonly #queuePerSlot: number;

  /** @param queuePerSlot - waiting requests per slot */
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
