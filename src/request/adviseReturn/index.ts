/** When a caller whose request was refused should come back. */

/** Callers spend at most this share of their remaining time waiting. */
const LONGEST_SHARE = 1 / 3;
/** Part of the objective that may pass; the rest is for the second attempt. */
const OBJECTIVE_SHARE = 0.35;
/** Below this a return costs more than it can find. */
const LEAST_MS = 25;
/** Wait when nothing is known of the servers, for example because none is announced. */
const DEFAULT_MS = 250;
/** Width of the random part, so that those refused together do not return together. */
const SPREAD = 0.8;

export interface RefusedRequest {
  /** Expected time until a server has room; undefined when unknown. */
  expectedMs: number | undefined;
  /** Time up to which a response is of full use; undefined when there is no such time. */
  objectiveLeftMs: number | undefined;
  /** Time for which the caller still waits. */
  remainingMs: number;
  /** Uniform in [0, 1). */
  random: number;
}

/**
 * Chooses the pause before a refused request is worth repeating. For a burst that fills the queues of
 * all servers: the refused ones come back spread over the time in which the queues empty.
 *
 * @returns milliseconds
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
