/** A run that failed once and is repeated by every test run. */
export interface Regression {
  seed: number;
  durationMs: number;
  /** Which guarantee was violated, and why. */
  cause: string;
}

/** All runs of random faults that have failed so far. */
export const REGRESSIONS: Regression[] = [
  {
    seed: 708_120_608,
    durationMs: 12_000,
    cause: 'The run never ended: a node that was paused while it stopped was not resumed.',
  },
];

/** All runs with servers that answer twice that have failed so far. */
export const STUTTER_REGRESSIONS: Regression[] = [
  {
    seed: 1,
    durationMs: 8_000,
    cause: 'Early hints were written into the body of an answer that waited for the one before it.',
  },
  {
    seed: 1_216,
    durationMs: 5_000,
    cause:
      'A lookup that had run got 503: its second attempt was cancelled unsent at the deadline, and hid ' +
      'the first one.',
  },
];

/** All runs of planned work beside disruptions that have failed so far. */
export const STOP_REGRESSIONS: Regression[] = [
  {
    seed: 3_003,
    durationMs: 10_000,
    cause:
      'A lookup at a suspended node was given up after 450 ms, before its second attempt was refused: the ' +
      'stopping entry node answered 502, and a worker ran it.',
  },
  {
    seed: 3_009,
    durationMs: 10_000,
    cause: 'The same at a node that ran in short turns.',
  },
];
