/** Overload detection by the lateness of a periodic task. */

/** Weight of the newest sample in the mean. */
const SAMPLE_WEIGHT = 0.3;
/** Upper bound on the lateness of one sample, so that a resumed VM does not count as overloaded. */
const MAX_SAMPLE_MS = 1_000;
/** Mean lateness above which a node is overloaded: half of the shortest usual target latency. */
const OVERLOAD_THRESHOLD_MS = 150;
/** Mean lateness below which an overloaded node has recovered. */
const RECOVERY_THRESHOLD_MS = 50;

/**
 * Detects overload from the lateness of a periodic task.
 *
 * A node on a VM that runs many times slower than usual responds late or not at all, however few
 * requests it admits, so callers should use other nodes meanwhile.
 */
export default class LatenessMonitor {
  readonly #intervalMs: number;

  #lastAtMs: number | undefined;

  #meanMs = 0;

  #isOverloaded = false;

  /** @param intervalMs - time between two runs of the task */
  constructor(intervalMs: number) {
    this.#intervalMs = intervalMs;
  }

  get isOverloaded(): boolean {
    return this.#isOverloaded;
  }

  /** Moving average of the lateness, in milliseconds. */
  get meanMs(): number {
    return this.#meanMs;
  }

  /**
   * Records a run of the task.
   *
   * @param nowMs - present time in milliseconds, on a monotonic clock
   * @param waitMs - time that the oldest request not handled yet has waited; counts as lateness if longer
   * @returns true when the node became overloaded or recovered
   */
  recordRun(nowMs: number, waitMs = 0): boolean {
    const lastAtMs = this.#lastAtMs;
    this.#lastAtMs = nowMs;
    if (lastAtMs === undefined) return false;
    const lateMs = Math.max(waitMs, nowMs - lastAtMs - this.#intervalMs);
    this.#meanMs += SAMPLE_WEIGHT * (Math.min(MAX_SAMPLE_MS, lateMs) - this.#meanMs);
    const wasOverloaded = this.#isOverloaded;
    this.#isOverloaded =
      this.#meanMs > (wasOverloaded ? RECOVERY_THRESHOLD_MS : OVERLOAD_THRESHOLD_MS);
    return this.#isOverloaded !== wasOverloaded;
  }
}
