import { measureElapsedMs } from '../../process/measureElapsed/index.js';

import type { Instant } from '../../process/measureElapsed/index.js';

/** Time between two runs of the timer, and after the second one, from which requests may be old. */
const PAUSE_MS = 1_000;

/**
 * Detects that this process has just been suspended or could not run.
 *
 * Requests that other nodes forwarded meanwhile waited in its buffers, and what was true of them when
 * they were sent may be so no longer. They are read soon after the process runs again.
 */
class PauseWatch {
  #lastRunAt: Instant | undefined;

  #pauseEndedAt: Instant | undefined;

  /** Records a run of a timer whose interval is far below a second. */
  recordRun(now: Instant): void {
    if (this.#lastRunAt && measureElapsedMs(this.#lastRunAt, now) > PAUSE_MS)
      this.#pauseEndedAt = now;
    this.#lastRunAt = now;
  }

  /** Returns whether a request that is read now may have waited for long. */
  isAfterPause(now: Instant): boolean {
    const isWaking = this.#lastRunAt && measureElapsedMs(this.#lastRunAt, now) > PAUSE_MS;
    const hasJustWoken = this.#pauseEndedAt && measureElapsedMs(this.#pauseEndedAt, now) < PAUSE_MS;
    return Boolean(isWaking) || Boolean(hasJustWoken);
  }
}

export default PauseWatch;
