/** What all nodes together may still use of one quota, as far as this control VM knows. */
import type { Quota, QuotaBounds } from '../types.js';

const MS_PER_SECOND = 1_000;
/** Parts of the burst and of the slack that make up the pool; the rest covers what is not reported yet. */
const BURST_SHARE = 0.95;
const SLACK_SHARE = 0.5;
/** Time from an admission until the shares can follow: report, delivery, computation, delivery. */
const REACTION_S = 0.3;
/** Limits of the rate granted, as shares of the quota's rate added to it or taken from it. */
const MAX_ADDED_SHARE = 0.5;
const MAX_WITHHELD_SHARE = 0.85;
/** Time over which the pool is given out, or an excess made up for. */
const BALANCE_S = 0.6;

/**
 * A token bucket over the admissions of all nodes, filled at the rate of the quota. Reports arrive
 * late, so that it may go below zero; less than the rate is then granted until that is made up for.
 */
export default class QuotaPool {
  readonly #bounds: QuotaBounds;

  #quota: Quota;

  #level: number;

  /**
   * @param quota - quota of the workspace
   * @param bounds - bounds of all quotas
   * @param isFull - whether nothing of the quota has been used; unknown after a restart
   */
  constructor(quota: Quota, bounds: QuotaBounds, isFull: boolean) {
    this.#quota = quota;
    this.#bounds = bounds;
    this.#level = isFull ? this.size : 0;
  }

  get quota(): Quota {
    return this.#quota;
  }

  /** Highest level, in requests. */
  get size(): number {
    return this.#quota.burst * BURST_SHARE + this.#bounds.slack * SLACK_SHARE;
  }

  get level(): number {
    return this.#level;
  }

  /** Changes the quota. What a lower one leaves is in force at once, so is what a higher one adds. */
  setQuota(quota: Quota): void {
    const formerSize = this.size;
    this.#quota = quota;
    this.#level = Math.min(this.size, this.#level + Math.max(0, this.size - formerSize));
  }

  /** Adds what has been earned; `settle` limits the level to the size. */
  refill(elapsedMs: number): void {
    this.#level += (elapsedMs * this.#quota.ratePerSecond) / MS_PER_SECOND;
  }

  spend(requests: number): void {
    this.#level -= requests;
  }

  /** Drops what the pool cannot hold. */
  settle(): void {
    this.#level = Math.min(this.size, this.#level);
  }

  /** Drops what was earned while the use was not known. */
  drain(): void {
    this.#level = Math.min(0, this.#level);
  }

  /** The level less the admissions that are not reported yet, in requests. */
  computeAvailable(admittedPerSecond: number): number {
    return this.#level - admittedPerSecond * REACTION_S;
  }

  /**
   * Returns the rate that all nodes together may use, in requests per second.
   *
   * @param available - as `computeAvailable` returns it
   */
  computeGrantedRate(available: number): number {
    const { ratePerSecond } = this.#quota;
    const added = Math.max(
      -MAX_WITHHELD_SHARE * ratePerSecond,
      Math.min(MAX_ADDED_SHARE * ratePerSecond, available / BALANCE_S),
    );
    return ratePerSecond + added;
  }
}
