/** When a caller whose request was refused should come back. */

/** Callers spend at most this share of their remaining time waiting. */
const MAX_REMAINING_SHARE = 1 / 3;
/** Part of the objective that may pass; the rest is for the second attempt. */
const MAX_OBJECTIVE_SHARE = 0.35;
/** Below this a return costs more than it can find. */
const MIN_DELAY_MS = 25;
/** Wait when nothing is known of the servers, for example because none is announced. */
const DEFAULT_DELAY_MS = 250;
/** Width of the random part, so that those refused together do not return together. */
const JITTER_WIDTH = 0.8;

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
