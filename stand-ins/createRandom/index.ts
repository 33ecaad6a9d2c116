/* eslint-disable no-bitwise -- the generator works on 32-bit integers */

/**
 * Creates a generator of numbers from 0 to 1 that repeats for the same seed (mulberry32).
 *
 * @param seed - any whole number
 */
const createRandom = (seed: number): (() => number) => {
  let state = Math.trunc(seed);
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
};

export default createRandom;
