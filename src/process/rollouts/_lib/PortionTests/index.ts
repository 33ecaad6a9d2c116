import { CumulativeTest } from '../CumulativeTest/index.js';

/**
 * Portion of failures above that of the others which is tolerated: one machine of the new version
 * that fails while the nodes turn away from it.
 */
const TOLERATED_FAILURES = 0.04;

const FAILURE_TEST = { excesses: [0.06, 0.16, 0.36, 0.7], persistMs: 1_000 };

/** As `TOLERATED_FAILURES`, for slow answers; nodes turn away from slow machines later. */
const TOLERATED_SLOW = 0.12;

const SLOW_TEST = { excesses: [0.15, 0.35, 0.6], persistMs: 1_500 };

/** Added to what is tolerated once the others get no requests, so that a burst is seen at one only. */
const TOLERATED_WITHOUT_OTHERS = 0.1;

/** Above it, the others are too bad themselves to be compared with. */
const MAX_TOLERATED = 0.9;

/** Attempts of the target version, and how many of them would be bad if it were like the others. */
export interface ClassifiedEvents {
  requests: number;
  failures: number;
  expectedFailures: number;
  /** Answers whose durations are compared. */
  answers: number;
  slow: number;
  expectedSlow: number;
}

/** Adds up the events of several routes. */
export const sumEvents = (events: ClassifiedEvents[]): ClassifiedEvents => {
  const sum = (select: (event: ClassifiedEvents) => number): number =>
    events.reduce((total, event) => total + select(event), 0);
  return {
    requests: sum(({ requests }) => requests),
    failures: sum(({ failures }) => failures),
    expectedFailures: sum(({ expectedFailures }) => expectedFailures),
    answers: sum(({ answers }) => answers),
    slow: sum(({ slow }) => slow),
    expectedSlow: sum(({ expectedSlow }) => expectedSlow),
  };
};

/** Tests whether too many attempts fail and whether too many answers are slow. */
export class PortionTests {
  readonly #failures = new CumulativeTest(FAILURE_TEST);

  readonly #slow = new CumulativeTest(SLOW_TEST);

  get isBad(): boolean {
    return this.#failures.isRejected || this.#slow.isRejected;
  }

  /** Highest sum of a test as a part of its limit. */
  get suspicion(): number {
    return Math.max(this.#failures.suspicion, this.#slow.suspicion);
  }

  /** What was found. */
  describe(): string {
    const findings = [
      ...(this.#failures.isRejected ? ['too many failures'] : []),
      ...(this.#slow.isRejected ? ['answers are several times slower'] : []),
    ];
    return findings.length > 0 ? findings.join(', ') : 'nothing found';
  }

  /**
   * Adds the events of one interval.
   *
   * @param events - events of the target version
   * @param isPromoted - whether the others get no requests any more
   * @param nowMs - end of the interval, in milliseconds
   */
  add(events: ClassifiedEvents, isPromoted: boolean, nowMs: number): void {
    const { requests, failures, expectedFailures, answers, slow, expectedSlow } = events;
    const margin = isPromoted ? TOLERATED_WITHOUT_OTHERS : 0;
    if (requests > 0) {
      const tolerated = expectedFailures / requests + TOLERATED_FAILURES + margin;
      const good = Math.max(0, requests - failures);
      if (tolerated < MAX_TOLERATED) this.#failures.add(failures, good, tolerated, nowMs);
    }
    if (answers > 0) {
      const tolerated = expectedSlow / answers + TOLERATED_SLOW + margin;
      if (tolerated < MAX_TOLERATED) this.#slow.add(slow, answers - slow, tolerated, nowMs);
    }
  }
}
