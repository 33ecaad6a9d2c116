import { RetryBudget } from './RetryBudget.js';

/** Allows retries up to a share of the requests, plus one per second for rarely used services. */
export default class RatioRetryBudget extends RetryBudget {
  protected override get tokensPerRequest(): number {
    return 0.1;
  }

  protected override get tokensPerSecond(): number {
    return 1;
  }
}
