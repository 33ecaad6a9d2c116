/** Token bucket for the requests that a server accepts per second. */

const MS_PER_SECOND = 1_000;
/** Requests that may follow each other at once after a pause, as a share of those of a second. */
const BURST_SHARE = 0.25;
/** Even at a limit of 0 a request is sent now and then, since only an answer can lift the limit. */
const MIN_PER_SECOND = 0.25;
/** Allows for rounding when fractions of tokens add up to a whole one. */
const ROUNDING = 1e-6;

/**
 * Limits the rate of requests to one server.
 *
 * Starts without tokens: a server in need that has just named its limit gets no burst.
 *
 * @example
 * const limit = new RateLimit(20, nowMs);
 * if (limit.hasToken(nowMs)) limit.take(nowMs);
 */
export default class RateLimit {
  #perSecond: number;

  #tokens = 0;

  #updatedAtMs: number;

  /**
   * @param perSecond - requests per second
   * @param nowMs - present time in milliseconds
   */
  constructor(perSecond: number, nowMs: number) {
    this.#perSecond = Math.max(MIN_PER_SECOND, perSecond);
    this.#updatedAtMs = nowMs;
  }

  get perSecond(): number {
    return this.#perSecond;
  }

  /** Changes the rate and keeps the tokens, up to the new burst. */
  setRate(perSecond: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#perSecond = Math.max(MIN_PER_SECOND, perSecond);
    this.#tokens = Math.min(this.#tokens, this.#burst);
  }

  /** Returns whether a request may be sent now. */
  hasToken(nowMs: number): boolean {
    this.#refill(nowMs);
    return this.#tokens >= 1 - ROUNDING;
  }

  /** Takes the token of a request that is sent now. */
  take(nowMs: number): void {
    this.#refill(nowMs);
    this.#tokens -= 1;
  }

  /**
   * Returns the time until a request may be sent, in milliseconds.
   *
   * @param ahead - requests that are sent before it
   * @param nowMs - present time in milliseconds
   */
  computeWaitMs(ahead: number, nowMs: number): number {
    this.#refill(nowMs);
    const missing = ahead + 1 - this.#tokens;
    return Math.max(0, (missing * MS_PER_SECOND) / this.#perSecond);
  }

  /** Returns the share of the burst that is used up: 0 after a pause, 1 at the limit. */
  computeUse(nowMs: number): number {
    this.#refill(nowMs);
    return Math.min(1, Math.max(0, 1 - this.#tokens / this.#burst));
  }

  get #burst(): number {
    return Math.max(1, this.#perSecond * BURST_SHARE);
  }

  #refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    const earned = (elapsedMs * this.#perSecond) / MS_PER_SECOND;
    this.#tokens = Math.min(this.#burst, this.#tokens + earned);
    this.#updatedAtMs = nowMs;
  }
}
