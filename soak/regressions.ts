/** A run that failed once, and is played again by every test run. */
export interface Regression {
  seed: number;
  durationMs: number;
  /** What broke, and why. */
  cause: string;
}

/** Seeds that ever failed. */
export const REGRESSIONS: Regression[] = [];
