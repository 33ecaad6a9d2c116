import { RetryBudget } from './RetryBudget.js';

/** Allows a fixed number of retries per second at any load; baseline for comparison. */
export default class FixedRetryBudget extends RetryBudget {
  protected override get tokensPerRequest(): number {
    return 0;
  }

  protected override get tokensPerSecond(): number {
    return 10;
  }
}
