// Park-Miller generator; 48271 is a primitive root modulo the prime 2^31 - 1.
const MULTIPLIER = 48_271;
const MODULUS = 2_147_483_647;

/** Returns the next number in [0, 1). */
export type Random = () => number;

/**
 * Creates a random number generator whose sequence depends only on the seed.
 *
 * @param seed - any integer; a caller that draws it prints it, so that a run can be reproduced
 *
 * @example
 * const random = createSeededRandom(7);
 */
export const createSeededRandom = (seed: number): Random => {
  let state = (Math.abs(seed) % (MODULUS - 1)) + 1;
  const next = (): number => {
    state = (state * MULTIPLIER) % MODULUS;
    return (state - 1) / (MODULUS - 1);
  };
  // Skips the first numbers, which are similar for neighbouring seeds.
  Array.from({ length: 3 }, next);
  return next;
};

/** Draws a whole number from `low` to `high`, both included. */
export const drawInteger = (random: Random, low: number, high: number): number =>
  low + Math.floor(random() * (high - low + 1));

/** Draws one of several values. */
export const drawOne = <Value>(random: Random, values: readonly Value[]): Value =>
  values[drawInteger(random, 0, values.length - 1)] as Value;

/** Draws a seed for a run, or takes it from the environment variable `SEED`. */
export const chooseSeed = (): number =>
  Number(process.env.SEED ?? Math.floor(Math.random() * 1_000_000_000));
