/** Returns how many of a number of voters are a majority. */
export const computeMajority = (voterCount: number): number => Math.floor(voterCount / 2) + 1;

/**
 * Returns the highest value that a majority has reached.
 *
 * @param values - one value per voter
 * @returns -Infinity when there are no voters
 */
export const computeQuorumValue = (values: number[]): number => {
  const descending = values.toSorted((left, right) => right - left);
  return descending[computeMajority(values.length) - 1] ?? -Infinity;
};
