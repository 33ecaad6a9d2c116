/** Part of a drain in which every request that is accepted has the time to end, whatever it takes. */
const LATE_SHARE = 0.5;

/** Time for which a draining node completes requests, and for which it accepts any. */
export default class DrainWindow {
  readonly #endMs: number;

  readonly #lateFromMs: number;

  /**
   * @param startMs - start of the drain, on a monotonic clock
   * @param timeoutMs - time after which the requests in flight are aborted; may be Infinity
   */
  constructor(startMs: number, timeoutMs: number) {
    this.#endMs = startMs + timeoutMs;
    this.#lateFromMs = startMs + timeoutMs * LATE_SHARE;
  }

  /**
   * Returns the time left, once a request must end within it to be accepted; Infinity before.
   *
   * @param nowMs - present time, on the clock of the start
   */
  readLeftMs(nowMs: number): number {
    return nowMs < this.#lateFromMs ? Infinity : this.#endMs - nowMs;
  }
}
