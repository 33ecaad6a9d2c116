/** Measures time that has passed, including the time for which the VM was suspended. */

/** A moment on two clocks. */
export interface Instant {
  /** Stands still on some systems while the VM is suspended. */
  steadyMs: number;
  /** Time of day in milliseconds since the epoch; may be set forward or back. */
  wallMs: number;
}

/**
 * Measures the time between two moments. The greater difference is never less than the time that has
 * passed, unless a VM is suspended and its time of day is set back by as much.
 *
 * @param from - the earlier moment
 * @param to - the later moment
 * @returns milliseconds; too many after the time of day was set forward
 *
 * @example
 * measureElapsedMs({ steadyMs: 0, wallMs: 0 }, { steadyMs: 5, wallMs: 7_000 }); // 7000
 */
export const measureElapsedMs = (from: Instant, to: Instant): number =>
  Math.max(to.steadyMs - from.steadyMs, to.wallMs - from.wallMs);
