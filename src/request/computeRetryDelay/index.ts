/** Retry delay that a caller is given with the refusal of its request. */

/** Callers spend at most this share of their remaining time waiting. */
const MAX_REMAINING_SHARE = 1 / 3;
/** Largest share of the remaining objective that the delay takes; the rest is for the retry. */
const MAX_OBJECTIVE_SHARE = 0.35;
/** A server is unlikely to have freed a slot sooner, so an earlier retry only adds load. */
const MIN_DELAY_MS = 25;
/** Wait when nothing is known of the servers, for example because none is announced. */
const DEFAULT_DELAY_MS = 250;
/** Width of the jitter relative to the delay, so that requests refused together retry apart. */
const JITTER_WIDTH = 0.8;

export interface RefusedRequest {
  /** Expected time until a server has room; undefined when unknown. */
  expectedMs: number | undefined;
  /** Time left to meet the latency objective; undefined when the route has none. */
  objectiveLeftMs: number | undefined;
  /** Time for which the caller still waits. */
  remainingMs: number;
  /** Uniform in [0, 1). */
  random: number;
}

/**
 * Computes the delay after which a refused request should be retried.
 *
 * After a burst that fills the queues of all servers, the retries spread over the time in which the
 * queues drain.
 *
 * @returns delay in milliseconds
 */
const computeRetryDelay = ({
  expectedMs,
  objectiveLeftMs,
  remainingMs,
  random,
}: RefusedRequest): number => {
  const maxDelayMs =
    objectiveLeftMs === undefined ? Infinity : objectiveLeftMs * MAX_OBJECTIVE_SHARE;
  const meanDelayMs = Math.max(MIN_DELAY_MS, Math.min(expectedMs ?? DEFAULT_DELAY_MS, maxDelayMs));
  const delayMs = meanDelayMs * (1 + JITTER_WIDTH * (random - 0.5));
  return Math.max(0, Math.min(delayMs, remainingMs * MAX_REMAINING_SHARE));
};

export default computeRetryDelay;
