/** Returns the size of a majority of the voters. */
export const computeMajority = (voterCount: number): number => Math.floor(voterCount / 2) + 1;

/**
 * Returns the highest value that a majority of the voters has reached.
 *
 * @param values - one value per voter
 * @returns the value; -Infinity if there are no voters
 */
export const computeQuorumValue = (values: number[]): number => {
  const descending = values.toSorted((left, right) => right - left);
  return descending[computeMajority(values.length) - 1] ?? -Infinity;
};
