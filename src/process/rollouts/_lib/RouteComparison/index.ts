import { PortionTests } from '../PortionTests/index.js';
import type { ClassifiedEvents } from '../PortionTests/index.js';
import { addTally, countFrom, createTally, findMedianBucket, scaleTally } from '../tally/index.js';
import type { Tally } from '../tally/index.js';

/**
 * Both versions are compared over the same time, within which counts of the others fade: a short time
 * for the begin of a burst, a longer one for few requests. The worse of both counts.
 */
const REFERENCES_MS = [250, 3_000];

/** Weight of all earlier counts of the others, for moments in which they get few requests. */
const LONG_TERM_WEIGHT = 20;

/** Answers of the others below which durations are not compared. */
const MIN_REFERENCE_ANSWERS = 20;

/** Buckets above the median of the others from which an answer is slow: 2.8 times as long. */
const SLOW_BUCKETS = 3;

/** One bucket more once the others get no requests, since queues lengthen under a burst. */
const SLOW_BUCKETS_WITHOUT_OTHERS = 4;

/** How the counts of an interval are used. */
export interface AddOptions {
  /** Not while servers warm up. */
  comparesDurations: boolean;
  /** Whether the others get no requests any more. */
  isPromoted: boolean;
}

/** Compares the target version with the others on one route. */
export class RouteComparison {
  readonly target = createTally();

  readonly others = createTally();

  readonly tests = new PortionTests();

  #references: Tally[] = REFERENCES_MS.map(createTally);

  #referenceAtMs: number | undefined;

  /**
   * Adds what both versions did in one interval.
   *
   * @param target - counts of the target version
   * @param others - counts of all other versions together
   * @param nowMs - end of the interval, in milliseconds
   * @returns the events of the target version, for the test over all routes
   */
  add(target: Tally, others: Tally, options: AddOptions, nowMs: number): ClassifiedEvents {
    addTally(this.target, target);
    addTally(this.others, others);
    // Without the others, those before the promotion stay the reference.
    if (!options.isPromoted) this.#updateReferences(others, nowMs);
    const events = this.#classify(target, options);
    this.tests.add(events, options.isPromoted, nowMs);
    return events;
  }

  #classify(target: Tally, options: AddOptions): ClassifiedEvents {
    const references = this.#references.map((reference) => this.#addLongTerm(reference));
    const failing = Math.max(
      ...references.map(({ failures, requests }) => failures / Math.max(1, requests)),
    );
    const { requests, failures } = target;
    const counted = { requests, failures, expectedFailures: requests * failing };
    const answers = countFrom(target, 0);
    const canCompare = references.every(
      (reference) => countFrom(reference, 0) >= MIN_REFERENCE_ANSWERS,
    );
    if (!options.comparesDurations || !canCompare) {
      return { ...counted, answers: 0, slow: 0, expectedSlow: 0 };
    }
    const slowFrom =
      findMedianBucket(references.at(-1) ?? createTally()) +
      (options.isPromoted ? SLOW_BUCKETS_WITHOUT_OTHERS : SLOW_BUCKETS);
    const slowPortion = Math.max(
      ...references.map((reference) => countFrom(reference, slowFrom) / countFrom(reference, 0)),
    );
    const slow = countFrom(target, slowFrom);
    return { ...counted, answers, slow, expectedSlow: answers * slowPortion };
  }

  #updateReferences(others: Tally, nowMs: number): void {
    const elapsedMs = nowMs - (this.#referenceAtMs ?? nowMs);
    this.#referenceAtMs = nowMs;
    this.#references = this.#references.map((reference, index) => {
      const faded = scaleTally(reference, Math.exp(-elapsedMs / (REFERENCES_MS[index] ?? 1)));
      addTally(faded, others);
      return faded;
    });
  }

  #addLongTerm(reference: Tally): Tally {
    const combined = scaleTally(reference, 1);
    const weight = LONG_TERM_WEIGHT / Math.max(LONG_TERM_WEIGHT, this.others.requests);
    addTally(combined, this.others, weight);
    return combined;
  }
}
