export interface BackoffOptions {
  baseMs: number;
  capMs: number;
  /** Uniform in [0, 1). */
  random: () => number;
}

/**
 * Computes an exponential backoff with full jitter: uniform between 0 and a limit that doubles with
 * each failure up to `capMs`.
 *
 * @param attempt - number of consecutive failures, from 0
 * @returns delay in milliseconds
 */
export const computeBackoff = (attempt: number, options: BackoffOptions): number => {
  const limitMs = Math.min(options.capMs, options.baseMs * 2 ** Math.min(attempt, 30));
  return options.random() * limitMs;
};
