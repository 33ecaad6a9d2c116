/** Limits the requests of each client address with a token bucket. */

export interface RateLimiterOptions {
  /** Sustained rate of each client. */
  requestsPerSecond: number;
  /** Capacity of a bucket: requests that an idle client may send at once. */
  burst: number;
}

interface Bucket {
  tokens: number;
  updatedAtMs: number;
}

const MS_PER_SECOND = 1_000;

/** Maximum number of tracked clients; the least recently seen client is evicted first. */
const MAX_CLIENTS = 1_000;

/** Token buckets by client address. */
export default class RateLimiter {
  readonly #options: RateLimiterOptions;

  readonly #buckets = new Map<string, Bucket>();

  constructor(options: RateLimiterOptions) {
    this.#options = options;
  }

  /**
   * Takes one token from the bucket of a client.
   *
   * @param client - address of the client
   * @param nowMs - current time in milliseconds
   * @returns false when the client has exceeded its rate
   */
  tryAcquire(client: string, nowMs: number): boolean {
    const { burst, requestsPerSecond } = this.#options;
    const bucket = this.#buckets.get(client) ?? { tokens: burst, updatedAtMs: nowMs };
    const earned = (Math.max(0, nowMs - bucket.updatedAtMs) * requestsPerSecond) / MS_PER_SECOND;
    const tokens = Math.min(burst, bucket.tokens + earned);
    const isAdmitted = tokens >= 1;
    this.#buckets.delete(client);
    this.#buckets.set(client, { tokens: isAdmitted ? tokens - 1 : tokens, updatedAtMs: nowMs });
    this.#evictOldest();
    return isAdmitted;
  }

  #evictOldest(): void {
    if (this.#buckets.size <= MAX_CLIENTS) return;
    const [oldest] = this.#buckets.keys();
    if (oldest !== undefined) this.#buckets.delete(oldest);
  }
}
