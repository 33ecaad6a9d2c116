/** Distribution of the cost of requests: what a request costs, and what one that has run a while still costs. */

/** Two buckets per doubling tell costs apart by a factor of 1.4, from 1 ms to over a minute. */
const BUCKETS_PER_DOUBLING = 2;
const BUCKET_COUNT = 34;
/** The weights are halved beyond this many samples, so that the distribution follows the load. */
const MAX_SAMPLES = 600;
/** Samples after which the means above each bucket are computed anew. */
const MEANS_INTERVAL = 16;
/** A request beyond all samples is expected to run for this share of its age again. */
const UNKNOWN_REST_SHARE = 0.5;

const findBucket = (costMs: number): number => {
  const bucket = Math.floor(Math.log2(Math.max(1, costMs)) * BUCKETS_PER_DOUBLING);
  return Math.min(BUCKET_COUNT - 1, bucket);
};

const computeSum = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0);

/**
 * Decaying histogram of costs with buckets of equal width on a logarithmic scale.
 *
 * Answers load in which requests of one route differ in cost by a factor of ten: the mean says little
 * about a request that has run for twice the mean.
 */
export default class CostDistribution {
  readonly #weights: number[] = Array.from({ length: BUCKET_COUNT }, () => 0);

  /** Sums of the costs in each bucket, in milliseconds. */
  readonly #sums: number[] = Array.from({ length: BUCKET_COUNT }, () => 0);

  #total = 0;

  /** Mean of the costs in each bucket and above, in milliseconds; 0 where there are none. */
  #meansAbove: readonly number[] = [];

  #samplesSinceMeans = MEANS_INTERVAL;

  /** Number of samples, less what has decayed. */
  get sampleCount(): number {
    return this.#total;
  }

  /** Mean cost in milliseconds; 0 without samples. */
  get meanMs(): number {
    return this.#total === 0 ? 0 : computeSum(this.#sums) / this.#total;
  }

  /** @param costMs - cost of one request, in milliseconds */
  add(costMs: number): void {
    const bucket = findBucket(costMs);
    this.#weights[bucket] = (this.#weights[bucket] ?? 0) + 1;
    this.#sums[bucket] = (this.#sums[bucket] ?? 0) + costMs;
    this.#total += 1;
    this.#samplesSinceMeans += 1;
    if (this.#total > MAX_SAMPLES) this.#halve();
  }

  /**
   * Returns the expected rest of a request, in milliseconds: the mean of the costs above its age, less
   * its age.
   *
   * @param ageMs - cost so far
   */
  estimateRestMs(ageMs: number): number {
    const first = findBucket(ageMs) + (ageMs > 0 ? 1 : 0);
    const meanAboveMs = this.#getMeansAbove()[first] ?? 0;
    return meanAboveMs === 0 ? ageMs * UNKNOWN_REST_SHARE : Math.max(1, meanAboveMs - ageMs);
  }

  /** Rests are asked for several times a request, so the means are computed once in some samples. */
  #getMeansAbove(): readonly number[] {
    if (this.#samplesSinceMeans < MEANS_INTERVAL) return this.#meansAbove;
    this.#samplesSinceMeans = 0;
    const above = { weight: 0, sum: 0 };
    this.#meansAbove = this.#weights
      .map((weight, bucket) => ({ weight, sum: this.#sums[bucket] ?? 0 }))
      .reverse()
      .map(({ weight, sum }) => {
        above.weight += weight;
        above.sum += sum;
        return above.weight === 0 ? 0 : above.sum / above.weight;
      })
      .reverse();
    return this.#meansAbove;
  }

  #halve(): void {
    this.#weights.forEach((weight, bucket) => {
      this.#weights[bucket] = weight / 2;
      this.#sums[bucket] = (this.#sums[bucket] ?? 0) / 2;
    });
    this.#total /= 2;
  }
}
