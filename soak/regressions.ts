/** A run that failed once and is repeated by every test run. */
export interface Regression {
  seed: number;
  durationMs: number;
  /** Which guarantee was violated, and why. */
  cause: string;
}

/** All runs that have failed so far. */
export const REGRESSIONS: Regression[] = [
  {
    seed: 708_120_608,
    durationMs: 12_000,
    cause: 'The run never ended: a node that was paused while it stopped was not resumed.',
  },
];
