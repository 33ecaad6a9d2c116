import { randomInt } from 'node:crypto';

/** Parameters of the minimal standard generator (Park and Miller), exact in doubles. */
const MULTIPLIER = 48_271;
const MODULUS = 2_147_483_647;

/**
 * Creates a repeatable source of numbers from 0 up to 1; the seed comes from `TEST_SEED` if set.
 *
 * @param report - receives the line that names the seed
 */
const createRandom = (report: (line: string) => void): (() => number) => {
  const seed = Number(process.env.TEST_SEED ?? randomInt(1, MODULUS));
  report(`TEST_SEED=${seed}`);
  let state = seed;
  return () => {
    state = (state * MULTIPLIER) % MODULUS;
    return state / MODULUS;
  };
};

export default createRandom;
