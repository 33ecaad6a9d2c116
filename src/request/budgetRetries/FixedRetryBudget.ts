import { RetryBudget } from './RetryBudget.js';

/** Allows a fixed number of retries per second, whatever the load; the baseline. */
export default class FixedRetryBudget extends RetryBudget {
  protected override readonly tokensPerRequest = 0;

  protected override readonly tokensPerSecond = 10;
}
