interface Bucket {
  tokens: number;
  atMs: number;
}

export interface RetryBudgetOptions {
  /** Capacity of the token bucket, in retries. */
  burst?: number;
  /** Returns a number from 0 to 1. */
  random?: () => number;
}

const DEFAULT_BURST = 10;
const MS_PER_SECOND = 1_000;

/** Bounds the retries of this node per service, so that they cannot amplify an overload. */
export abstract class RetryBudget {
  readonly #buckets = new Map<string, Bucket>();

  readonly #burst: number;

  readonly #random: () => number;

  constructor(options: RetryBudgetOptions = {}) {
    this.#burst = options.burst ?? DEFAULT_BURST;
    this.#random = options.random ?? Math.random;
  }

  /** Capacity of the token bucket, in retries. */
  protected get burst(): number {
    return this.#burst;
  }

  /** Adds the tokens that a first attempt earns. */
  addRequest(service: string, nowMs: number): void {
    const bucket = this.#refill(service, nowMs);
    bucket.tokens = Math.min(this.burst, bucket.tokens + this.tokensPerRequest);
  }

  /**
   * Spends one token on a retry. With a capacity below one token, as for a part of a budget that many
   * nodes share, a fraction of a token is the probability of a retry, which leaves a debt.
   *
   * @param service - name of the service
   * @param nowMs - present time in milliseconds since the epoch
   * @returns false when the budget is exhausted
   */
  take(service: string, nowMs: number): boolean {
    const bucket = this.#refill(service, nowMs);
    const isFraction = this.burst < 1;
    const isAllowed = isFraction ? this.#random() < bucket.tokens : bucket.tokens >= 1;
    if (!isAllowed) return false;
    bucket.tokens -= 1;
    return true;
  }

  protected abstract get tokensPerRequest(): number;

  protected abstract get tokensPerSecond(): number;

  #refill(service: string, nowMs: number): Bucket {
    const known = this.#buckets.get(service);
    if (!known) {
      const created = { tokens: this.burst, atMs: nowMs };
      this.#buckets.set(service, created);
      return created;
    }
    const elapsedMs = Math.max(0, nowMs - known.atMs);
    const earned = (elapsedMs * this.tokensPerSecond) / MS_PER_SECOND;
    known.tokens = Math.min(this.burst, known.tokens + earned);
    known.atMs = nowMs;
    return known;
  }
}
