export interface BackoffOptions {
  baseMs: number;
  capMs: number;
  /** Uniform in [0, 1). */
  random: () => number;
}

/**
 * Computes a full-jitter exponential backoff: uniform between 0 and the doubled limit.
 *
 * @param attempt - number of failures in a row, from 0
 * @returns delay in milliseconds
 */
export const computeBackoff = (attempt: number, options: BackoffOptions): number => {
  const limitMs = Math.min(options.capMs, options.baseMs * 2 ** Math.min(attempt, 30));
  return options.random() * limitMs;
};
