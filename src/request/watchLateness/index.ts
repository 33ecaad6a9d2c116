/** How late a node gets to what is due, which tells that its processor cannot keep up. */

/** Weight of the newest sample in the mean. */
const SAMPLE_WEIGHT = 0.3;
/** Longest lateness that one sample counts for; a VM that was suspended is not overloaded after it. */
const MAX_SAMPLE_MS = 1_000;
/** Mean lateness from which on a node is overloaded: half of the shortest usual target latency. */
const OVERLOAD_THRESHOLD_MS = 150;
/** Mean lateness below which it no longer is. */
const RECOVERY_THRESHOLD_MS = 50;

/**
 * Watches a task that is due at equal intervals. A node on a VM that runs many times slower than usual
 * answers late or not at all whatever it admits; callers are better off at other nodes meanwhile.
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

  /** Mean lateness of late, in milliseconds. */
  get meanMs(): number {
    return this.#meanMs;
  }

  /**
   * Notes that the task runs now.
   *
   * @param nowMs - present time in milliseconds, on a clock that never steps
   * @returns true when the node has become overloaded or has been relieved
   */
  recordRun(nowMs: number): boolean {
    const lastAtMs = this.#lastAtMs;
    this.#lastAtMs = nowMs;
    if (lastAtMs === undefined) return false;
    const lateMs = Math.max(0, nowMs - lastAtMs - this.#intervalMs);
    this.#meanMs += SAMPLE_WEIGHT * (Math.min(MAX_SAMPLE_MS, lateMs) - this.#meanMs);
    const wasOverloaded = this.#isOverloaded;
    this.#isOverloaded =
      this.#meanMs > (wasOverloaded ? RECOVERY_THRESHOLD_MS : OVERLOAD_THRESHOLD_MS);
    return this.#isOverloaded !== wasOverloaded;
  }
}
