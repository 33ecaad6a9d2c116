/** Share of the time of the process that all wasteful connections may use together. */
const MAX_SHARE = 0.25;
/** Longest time without a turn; a process that was suspended during a piece has not used that time. */
const MAX_WAIT_MS = 1_000;
/** Unused time that counts for the next pieces; a timer may fire so much later than it is due. */
const MAX_CREDIT_MS = 2;
/** Time after a wasteful piece for which further ones are expected. */
const PRESSURE_MS = 10_000;

/**
 * Decides when the next wasteful connection may have a piece parsed, so that any number of them leaves
 * most of the time of the process to others.
 */
export default class TurnBudget {
  #nextTurnAtMs = -Infinity;

  #lastWasteAtMs = -Infinity;

  /**
   * Records a wasteful piece.
   *
   * @param spentMs - time for which the process was busy with it
   * @param nowMs - present time, on a monotonic clock
   */
  record(spentMs: number, nowMs: number): void {
    this.#lastWasteAtMs = nowMs;
    const startedAtMs = Math.max(this.#nextTurnAtMs, nowMs - spentMs - MAX_CREDIT_MS);
    this.#nextTurnAtMs = Math.min(startedAtMs + spentMs / MAX_SHARE, nowMs + MAX_WAIT_MS);
  }

  /**
   * Returns the time until the next turn, in milliseconds; 0 if it may start.
   *
   * @param nowMs - present time, on the same clock
   */
  computeWaitMs(nowMs: number): number {
    return Math.max(0, this.#nextTurnAtMs - nowMs);
  }

  /**
   * Returns whether there were wasteful pieces lately.
   *
   * @param nowMs - present time, on the same clock
   */
  isUnderPressure(nowMs: number): boolean {
    return nowMs - this.#lastWasteAtMs < PRESSURE_MS;
  }
}
