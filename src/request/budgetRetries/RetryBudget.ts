interface Bucket {
  tokens: number;
  atMs: number;
}

export interface RetryBudgetOptions {
  /** Capacity of the token bucket, in retries. */
  burst?: number;
}

const DEFAULT_BURST = 10;
const MS_PER_SECOND = 1_000;

/** Bounds the retries of this node per service, so that they cannot amplify an overload. */
export abstract class RetryBudget {
  readonly #buckets = new Map<string, Bucket>();

  readonly #burst: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.#burst = options.burst ?? DEFAULT_BURST;
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
   * Spends one token on a retry.
   *
   * @param service - name of the service
   * @param nowMs - present time in milliseconds since the epoch
   * @returns false when the budget is exhausted
   */
  take(service: string, nowMs: number): boolean {
    const bucket = this.#refill(service, nowMs);
    if (bucket.tokens < 1) return false;
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
