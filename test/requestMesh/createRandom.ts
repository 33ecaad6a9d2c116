import { randomInt } from 'node:crypto';

import { createSeededRandom } from '../../stand-ins/createSeededRandom/index.js';

const HIGHEST_SEED = 2_147_483_646;

/**
 * Creates a seeded source of random numbers in [0, 1); uses the seed in `TEST_SEED` if it is set.
 *
 * @param report - receives a line with the seed
 */
const createRandom = (report: (line: string) => void): (() => number) => {
  const seed = Number(process.env.TEST_SEED ?? randomInt(1, HIGHEST_SEED));
  report(`TEST_SEED=${seed}`);
  return createSeededRandom(seed);
};

export default createRandom;
