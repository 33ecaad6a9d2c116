/**
 * Limit of the log likelihood ratio at which a test rejects. A run of events that follow the null
 * hypothesis reaches it at most once in e^11, about 60,000, events on average.
 */
export const REJECT_AT = 11;

/**
 * Limit of what one observation adds. The failures of one moment often have one cause, such as a
 * machine that was lost, so they must not decide alone.
 */
const MAX_GAIN = 4;

/** A probability of 1 would make a single success impossible. */
const MAX_PROBABILITY = 0.98;

/** Sum for one alternative, and since when it has been above zero. */
interface Excursion {
  sum: number;
  startedAtMs: number;
}

export interface CumulativeTestOptions {
  /** Excesses of the bad portion over the tolerated one that the test looks for. */
  excesses: number[];
  /** Time over which the evidence must extend, in milliseconds. */
  persistMs: number;
}

/**
 * Sequential test (cumulative sums of log likelihood ratios, one for each alternative) of whether the
 * bad portion of the events is above a tolerated portion. Sums do not fall below zero, so a version
 * that turns bad only later is found as fast as one that was bad from the start.
 */
export class CumulativeTest {
  readonly #options: CumulativeTestOptions;

  readonly #excursions: Excursion[];

  #isRejected = false;

  constructor(options: CumulativeTestOptions) {
    this.#options = options;
    this.#excursions = options.excesses.map(() => ({ sum: 0, startedAtMs: 0 }));
  }

  /** Whether the portion is too high; stays true. */
  get isRejected(): boolean {
    return this.#isRejected;
  }

  /** Highest sum, as a part of the limit. */
  get suspicion(): number {
    return Math.max(...this.#excursions.map(({ sum }) => sum)) / REJECT_AT;
  }

  /**
   * Adds the events of one interval.
   *
   * @param bad - number of bad events
   * @param good - number of the others
   * @param tolerated - portion that is tolerated at present, from 0 to 1
   * @param nowMs - end of the interval, in milliseconds
   */
  add(bad: number, good: number, tolerated: number, nowMs: number): void {
    this.#options.excesses.forEach((excess, index) => {
      const portion = tolerated + excess;
      const excursion = this.#excursions[index];
      if (!excursion || portion > MAX_PROBABILITY) return;
      const gain =
        bad * Math.log(portion / tolerated) + good * Math.log((1 - portion) / (1 - tolerated));
      if (excursion.sum === 0 && gain > 0) excursion.startedAtMs = nowMs;
      excursion.sum = Math.max(0, excursion.sum + Math.min(MAX_GAIN, gain));
      const hasPersisted = nowMs - excursion.startedAtMs >= this.#options.persistMs;
      this.#isRejected ||= excursion.sum >= REJECT_AT && hasPersisted;
    });
  }
}
