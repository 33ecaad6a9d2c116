/** Retry delay that a caller is given with the refusal of its request. */

/** Largest share of the caller's remaining time that is spent on the delay. */
const LONGEST_SHARE = 1 / 3;
/** Largest share of the remaining objective that the delay takes; the rest is for the retry. */
const OBJECTIVE_SHARE = 0.35;
/** A server is unlikely to have freed a slot sooner, so an earlier retry only adds load. */
const LEAST_MS = 25;
/** Delay when the wait cannot be estimated, for example because no server is announced. */
const DEFAULT_MS = 250;
/** Width of the jitter relative to the delay, so that requests refused together retry apart. */
const SPREAD = 0.8;

export interface RefusedRequest {
  /** Expected time until a server has a free slot; undefined when unknown. */
  expectedMs: number | undefined;
  /** Time left to meet the latency objective; undefined when the route has none. */
  objectiveLeftMs: number | undefined;
  /** Time until the caller's deadline. */
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
const adviseReturn = ({
  expectedMs,
  objectiveLeftMs,
  remainingMs,
  random,
}: RefusedRequest): number => {
  const usefulMs = objectiveLeftMs === undefined ? Infinity : objectiveLeftMs * OBJECTIVE_SHARE;
  const middleMs = Math.max(LEAST_MS, Math.min(expectedMs ?? DEFAULT_MS, usefulMs));
  const spreadMs = middleMs * (1 + SPREAD * (random - 0.5));
  return Math.max(0, Math.min(spreadMs, remainingMs * LONGEST_SHARE));
};

export default adviseReturn;
