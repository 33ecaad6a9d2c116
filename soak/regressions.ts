/** A run that failed once and is repeated by every test run. */
export interface Regression {
  seed: number;
  durationMs: number;
  /** Which guarantee was violated, and why. */
  cause: string;
}

/** All runs that have failed so far. */
export const REGRESSIONS: Regression[] = [];
