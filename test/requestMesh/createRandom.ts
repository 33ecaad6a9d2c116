import { randomInt } from 'node:crypto';

import { createSeededRandom } from '../../stand-ins/createSeededRandom/index.js';

const HIGHEST_SEED = 2_147_483_646;

/**
 * Creates a repeatable source of numbers from 0 up to 1; the seed comes from `TEST_SEED` if set.
 *
 * @param report - receives the line that names the seed
 */
const createRandom = (report: (line: string) => void): (() => number) => {
  const seed = Number(process.env.TEST_SEED ?? randomInt(1, HIGHEST_SEED));
  report(`TEST_SEED=${seed}`);
  return createSeededRandom(seed);
};

export default createRandom;
