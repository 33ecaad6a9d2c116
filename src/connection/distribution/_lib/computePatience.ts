/** Bounds the time that an unreachable control VM costs before the next one is tried. */
const MAX_PATIENCE = 8;

/**
 * Computes the factor on the attach timeout. It doubles with each round in which no control VM
 * answered in time: on a slow VM, attempts that all end at the same bound never succeed.
 *
 * @param attempt - number of consecutive failed rounds, from 0
 * @returns factor of at least 1
 */
const computePatience = (attempt: number): number =>
  Math.min(MAX_PATIENCE, 2 ** Math.min(attempt, 30));

export default computePatience;
