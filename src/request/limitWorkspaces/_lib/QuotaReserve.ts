/** What one node may use of a quota without a share that a control VM has renewed. */
import type { QuotaBounds } from '../../../process/quotas/types.js';

const MS_PER_SECOND = 1_000;
/** Parts of the rate, the burst and the slack that the reserves of all nodes hold together. */
const RATE_SHARE = 0.95;
const BURST_SHARE = 0.6;
const SLACK_SHARE = 0.9;
/** Part of the rate that is divided by the usual requests of the nodes; the rest is equal at all. */
const USUAL_SHARE = 0.75;
/** Time over which the usual requests of a node are averaged. */
const USUAL_DECAY_S = 15;
/** Intervals that a window is counted in. */
const INTERVALS = 10;

/** The quota of a workspace, and among how many nodes it is divided. */
export interface ReserveLimits {
  ratePerSecond: number;
  burst: number;
  /** Nodes that may use the quota, this one included. */
  nodeCount: number;
}

/** Requests of an interval. */
interface IntervalCounts {
  admitted: number;
  /** Those that a share admitted. */
  fromShares: number;
}

export interface QuotaReserveOptions {
  bounds: QuotaBounds;
  /** Returns a number in [0, 1). */
  random: () => number;
  /** Start of this node, in milliseconds; what it admitted before is unknown. */
  startedAtMs: number;
  /** First request at this node, of any workspace, in milliseconds. */
  firstRequestAtMs: number;
}

/**
 * A limit to the requests of one workspace that one node admits within any window, in use while no
 * share is.
 *
 * Answers control VMs that are all silent, suspended or without their counts. The sum over the nodes
 * needs no message: their usual requests, those before the window, add up to the rate of the quota at
 * most, and all else is divided equally. Requests that a share has admitted count in the window too,
 * so that a node that has just used much has nothing left. Requests that the reserve has admitted are
 * never usual ones, and while it is in use the usual ones stay as they are: their sum would grow.
 *
 * Where less than one request is left, a threshold decides. It is drawn once and not for each request,
 * since repeated requests would otherwise make each of many nodes admit one.
 */
export default class QuotaReserve {
  readonly #options: QuotaReserveOptions;

  readonly #intervalMs: number;

  /** Requests by interval, of which the last ones span the window. */
  readonly #counts: IntervalCounts[] = Array.from({ length: INTERVALS + 1 }, () => ({
    ...{ admitted: 0, fromShares: 0 },
  }));

  /** Number of the present interval. */
  #interval: number;

  #usedInWindow = 0;

  /** Decaying count of the requests that have left the window, as of the last update. */
  #usual = 0;

  #isInUse = false;

  /** Time in which this reserve was in use. */
  #usedMs = 0;

  #updatedAtMs: number;

  #limits: ReserveLimits;

  #threshold: number;

  #thresholdAtMs: number;

  constructor(options: QuotaReserveOptions, limits: ReserveLimits, nowMs: number) {
    this.#options = options;
    this.#intervalMs = (options.bounds.windowS * MS_PER_SECOND) / INTERVALS;
    this.#interval = Math.floor(nowMs / this.#intervalMs);
    this.#updatedAtMs = nowMs;
    this.#limits = limits;
    this.#threshold = options.random();
    this.#thresholdAtMs = nowMs;
  }

  /**
   * Drops what has left the window; to be called before the other methods.
   *
   * @param limits - the quota in force
   * @param isInUse - whether the reserve admits requests now, and not a share
   * @param nowMs - present time in milliseconds
   */
  update(limits: ReserveLimits, isInUse: boolean, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    // The usual requests under a lower quota are fewer.
    this.#usual *= Math.min(1, limits.ratePerSecond / this.#limits.ratePerSecond);
    if (isInUse) this.#usedMs += elapsedMs;
    else this.#usual *= Math.exp(-elapsedMs / MS_PER_SECOND / USUAL_DECAY_S);
    this.#isInUse = isInUse;
    this.#limits = limits;
    this.#updatedAtMs = nowMs;
    const interval = Math.max(this.#interval, Math.floor(nowMs / this.#intervalMs));
    const passed = Math.min(this.#counts.length, interval - this.#interval);
    Array.from({ length: passed }, (_, index) => this.#interval + 1 + index).forEach((passing) =>
      this.#clear(passing),
    );
    this.#interval = interval;
    const windowMs = this.#options.bounds.windowS * MS_PER_SECOND;
    if (nowMs - this.#thresholdAtMs >= windowMs) this.#drawThreshold();
  }

  /** Whether the reserve admits a request. */
  get hasRoom(): boolean {
    return this.#computeAllowed() - this.#usedInWindow > this.#threshold;
  }

  /** Counts a request, whatever has admitted it. */
  charge(): void {
    if (this.hasRoom) this.#drawThreshold();
    this.#add(1);
  }

  /** Takes back a request that certainly did not run. */
  giveBack(): void {
    if (this.#usedInWindow > 0) this.#add(-1);
  }

  #add(requests: number): void {
    const counts = this.#getCounts(this.#interval);
    counts.admitted += requests;
    if (!this.#isInUse) counts.fromShares += requests;
    this.#usedInWindow += requests;
  }

  #clear(interval: number): void {
    const counts = this.#getCounts(interval);
    this.#usedInWindow -= counts.admitted;
    if (!this.#isInUse) this.#usual += counts.fromShares;
    Object.assign(counts, { admitted: 0, fromShares: 0 });
  }

  #getCounts(interval: number): IntervalCounts {
    const counts = this.#counts[interval % this.#counts.length];
    if (!counts) throw new Error(`no counts of the interval ${interval}`);
    return counts;
  }

  #drawThreshold(): void {
    this.#threshold = this.#options.random();
    this.#thresholdAtMs = this.#updatedAtMs;
  }

  /** Returns the requests that this node may admit within a window. */
  #computeAllowed(): number {
    const { bounds, startedAtMs, firstRequestAtMs } = this.#options;
    const { ratePerSecond, burst, nodeCount } = this.#limits;
    const { windowS } = bounds;
    const learnedMs = this.#updatedAtMs - firstRequestAtMs - this.#usedMs;
    const historyS = learnedMs / MS_PER_SECOND - windowS;
    const usualShare = USUAL_SHARE * Math.max(0, Math.min(1, historyS / windowS));
    const weightS = USUAL_DECAY_S * (1 - Math.exp(-historyS / USUAL_DECAY_S));
    const usual = usualShare > 0 ? Math.min(ratePerSecond, this.#usual / weightS) : 0;
    const equalRate = ((1 - usualShare) * ratePerSecond) / nodeCount;
    const equalBurst = (BURST_SHARE * burst + SLACK_SHARE * bounds.slack) / nodeCount;
    const allowed = RATE_SHARE * (usualShare * usual + equalRate) * windowS + equalBurst;
    const runS = (this.#updatedAtMs - startedAtMs) / MS_PER_SECOND;
    return allowed * Math.min(1, runS / windowS);
  }
}
