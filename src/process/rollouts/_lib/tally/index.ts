/** Counts of attempts at the servers of one software version. */

export interface Tally {
  requests: number;
  failures: number;
  /** Answered attempts by duration; bucket i holds those below 2^((i + 1) / 2) ms. */
  durationCounts: number[];
}

export const createTally = (): Tally => ({ requests: 0, failures: 0, durationCounts: [] });

/** Adds the counts of one tally, multiplied by a weight, to another. */
export const addTally = (sum: Tally, added: Tally, weight = 1): void => {
  const target = sum;
  target.requests += added.requests * weight;
  target.failures += added.failures * weight;
  added.durationCounts.forEach((count, bucket) => {
    target.durationCounts[bucket] = (target.durationCounts[bucket] ?? 0) + count * weight;
  });
};

/** Multiplies all counts, so that older ones count less. */
export const scaleTally = (
  { requests, failures, durationCounts }: Tally,
  weight: number,
): Tally => ({
  requests: requests * weight,
  failures: failures * weight,
  durationCounts: Array.from(durationCounts, (count = 0) => count * weight),
});

/** Counts the answers in a bucket or a later one. */
export const countFrom = ({ durationCounts }: Tally, firstBucket: number): number =>
  durationCounts.slice(firstBucket).reduce((sum, count = 0) => sum + count, 0);

/** Returns the bucket of the median; 0 without answers. */
export const findMedianBucket = (tally: Tally): number => {
  const half = countFrom(tally, 0) / 2;
  let counted = 0;
  const bucket = tally.durationCounts.findIndex((count = 0) => {
    counted += count;
    return counted >= half && counted > 0;
  });
  return Math.max(0, bucket);
};
