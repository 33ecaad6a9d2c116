/** Admission control for the slots of one backend server, with a bounded queue. */
import { QuickFirstPolicy } from '../AdmissionPolicy/index.js';
import { FixedLimiter } from '../ConcurrencyLimiter/index.js';
import RateLimit from '../RateLimit/index.js';

import type ServerWork from '../ServerWork/index.js';
import type { AdmissionPolicy, SlotDemand } from '../AdmissionPolicy/index.js';
import type { ConcurrencyLimiter, LimiterSample } from '../ConcurrencyLimiter/index.js';

/** Why a server's gate refused a request. */
export enum GateRefusal {
  QueueFull = 'QUEUE_FULL',
  /** A more urgent request took the place of this one in a full queue. */
  Displaced = 'DISPLACED',
  DeadlineTooShort = 'DEADLINE_TOO_SHORT',
  DeadlinePassed = 'DEADLINE_PASSED',
  Closed = 'SERVER_CLOSED',
}

export type { SlotDemand } from '../AdmissionPolicy/index.js';

/** Called once, possibly before `admit` returns; without a refusal the request has a slot. */
export type AdmissionListener = (refusal: GateRefusal | undefined) => void;

interface Waiter {
  demand: SlotDemand;
  onDecided: AdmissionListener;
  /** Requests with a lower rank are served first. */
  rank: number;
  isSettled: boolean;
}

export interface SlotGateOptions {
  slots: number;
  limiter?: ConcurrencyLimiter;
  /** Requests that may wait per slot, for the default policy. */
  queuePerSlot?: number;
  /** Order in which requests wait; `QuickFirstPolicy` by default. */
  policy?: AdmissionPolicy;
  /** Estimates waits from the work in progress, instead of from the mean hold time. */
  work?: ServerWork | undefined;
}

/** Weight of the newest sample in the mean hold time of a slot. */
const HOLD_SAMPLE_WEIGHT = 0.1;
/**
 * Admits requests to one server within its slots, and within its rate limit while it has one.
 *
 * A policy decides which requests wait, and in which order. Granted slots count as used until they
 * are returned or their lease ended.
 *
 * @example
 * const gate = new SlotGate({ slots: 20 });
 * gate.admit(demand, Date.now(), (refusal) => { if (!refusal) callServer(); });
 */
export class SlotGate {
  readonly limiter: ConcurrencyLimiter;

  readonly work: ServerWork | undefined;

  readonly #policy: AdmissionPolicy;

  #waiters: Waiter[] = [];

  #slots: number;

  #usedQuick = 0;

  #usedSlow = 0;

  #granted = 0;

  #isClosed = false;

  #meanHoldMs = 0;

  /** Sum of the times at which the slots in use were taken. */
  #startSumMs = 0;

  #admittedCount = 0;

  #rateLimit: RateLimit | undefined;

  constructor(options: SlotGateOptions) {
    this.#slots = options.slots;
    this.work = options.work;
    this.limiter = options.limiter ?? new FixedLimiter(options.slots);
    this.#policy = options.policy ?? new QuickFirstPolicy(options.queuePerSlot);
  }

  /** Slots in use, granted ones included. */
  get used(): number {
    return this.#usedQuick + this.#usedSlow + this.#granted;
  }

  get granted(): number {
    return this.#granted;
  }

  get waiting(): number {
    return this.#waiters.length;
  }

  /** Number of slots that may be in use: the announced slots, or the limiter's limit if lower. */
  get capacity(): number {
    return Math.min(this.#slots, this.limiter.limit);
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Requests per second that the server accepts; undefined without a limit. */
  get maxRequestsPerSecond(): number | undefined {
    return this.#rateLimit?.perSecond;
  }

  /** Number of slots that slow requests cannot use. */
  get reserved(): number {
    return this.#policy.getReservedSlots(this.capacity);
  }

  setSlots(slots: number, nowMs: number): void {
    this.#slots = slots;
    this.limiter.setSlots(slots);
    this.admitWaiters(nowMs);
  }

  /**
   * Limits the rate at which requests are admitted.
   *
   * @param perSecond - requests per second; undefined removes the limit
   * @param nowMs - present time in milliseconds since the epoch
   */
  limitRate(perSecond: number | undefined, nowMs: number): void {
    if (perSecond === undefined) this.#rateLimit = undefined;
    else if (this.#rateLimit) this.#rateLimit.setRate(perSecond, nowMs);
    else this.#rateLimit = new RateLimit(perSecond, nowMs);
    this.admitWaiters(nowMs);
  }

  /** Admits requests again after `close`. */
  open(): void {
    this.#isClosed = false;
  }

  /** Refuses all waiting and all new requests. */
  close(): void {
    this.#isClosed = true;
    this.#waiters.splice(0).forEach((waiter) => this.#settle(waiter, GateRefusal.Closed));
  }

  /**
   * Requests a slot, which is granted immediately or after a wait, or refused.
   *
   * @param demand - deadline and priority
   * @param nowMs - present time in milliseconds since the epoch
   * @param onDecided - called once with the decision
   * @returns a function that withdraws the request if it still waits; takes the time of its call
   */
  admit(
    demand: SlotDemand,
    nowMs: number,
    onDecided: AdmissionListener,
  ): (withdrawnAtMs: number) => void {
    const waiter: Waiter = {
      demand,
      onDecided,
      rank: this.#policy.computeRank(demand),
      isSettled: false,
    };
    const refusal = this.#findRefusal(waiter, nowMs);
    if (refusal !== undefined) {
      this.#settle(waiter, refusal);
    } else if (this.#canAdmit(waiter, nowMs)) {
      this.#occupySlot(waiter, nowMs);
    } else {
      this.#enqueue(waiter, nowMs);
    }
    return (withdrawnAtMs) => this.#withdraw(waiter, withdrawnAtMs);
  }

  /**
   * Releases a slot.
   *
   * @param demand - demand that the slot was granted for
   * @param heldMs - time that the slot was held
   * @param nowMs - present time in milliseconds since the epoch
   * @param sample - measurements for the limiter, if the request was sent
   */
  release(demand: SlotDemand, heldMs: number, nowMs: number, sample?: LimiterSample): void {
    if (demand.isSlow) this.#usedSlow -= 1;
    else this.#usedQuick -= 1;
    this.#startSumMs -= nowMs - heldMs;
    const isAnswered = sample !== undefined && !sample.isOverload && !sample.isFailure;
    this.work?.end(demand, heldMs, isAnswered);
    this.#meanHoldMs += HOLD_SAMPLE_WEIGHT * (heldMs - this.#meanHoldMs);
    if (sample) this.limiter.add(sample, nowMs);
    this.admitWaiters(nowMs);
  }

  /**
   * Estimates the hold time of a slot, in milliseconds: the moving average, or the mean age of the
   * requests in progress if that is higher, as when a server has just become slow.
   */
  estimateHoldMs(nowMs: number): number {
    const heldCount = this.#usedQuick + this.#usedSlow;
    if (heldCount === 0) return this.#meanHoldMs;
    const meanAgeMs = nowMs - this.#startSumMs / heldCount;
    return Math.max(this.#meanHoldMs, meanAgeMs);
  }

  /** Estimates the time until a new request would get a slot, in milliseconds. */
  estimateWaitMs(nowMs: number): number {
    const rateWaitMs = this.#rateLimit?.computeWaitMs(this.#waiters.length, nowMs) ?? 0;
    if (this.used < this.capacity && this.#waiters.length === 0) return rateWaitMs;
    return this.#estimateQueueMs(this.#waiters, nowMs);
  }

  /**
   * Estimates the time until a request would get a slot, in milliseconds, behind those of its rank.
   *
   * @param demand - the request; only what its rank depends on is read
   * @param nowMs - present time in milliseconds since the epoch
   */
  estimateRankedWaitMs(demand: SlotDemand, nowMs: number): number {
    if (this.used < this.capacity && this.#waiters.length === 0) return this.estimateWaitMs(nowMs);
    const rank = this.#policy.computeRank(demand);
    return this.#estimateQueueMs(
      this.#waiters.filter((other) => other.rank <= rank),
      nowMs,
    );
  }

  /**
   * Estimates the load that the rate limit causes, as a share: 1 at the limit, and above it in
   * proportion to the wait.
   */
  estimateRateLoad(nowMs: number): number {
    if (!this.#rateLimit) return 0;
    const waitMs = this.#rateLimit.computeWaitMs(this.#waiters.length, nowMs);
    if (waitMs === 0) return this.#rateLimit.computeUse(nowMs);
    return 1 + waitMs / Math.max(1, this.estimateHoldMs(nowMs));
  }

  /**
   * Returns the time after which `admitWaiters` is to be called, in milliseconds: 0 if a request that
   * waited for the rate limit can be admitted now, undefined when none waits for the rate limit. Those
   * that wait for a slot are admitted when one is released.
   */
  computeAdmissionDelayMs(nowMs: number): number | undefined {
    if (!this.#rateLimit || this.#waiters.length === 0) return undefined;
    const waitMs = Math.ceil(this.#rateLimit.computeWaitMs(0, nowMs));
    const hasSlot = this.#waiters.some(({ demand }) => this.#hasSlotFor(demand));
    return waitMs > 0 || hasSlot ? waitMs : undefined;
  }

  /**
   * Refuses waiting requests that would finish too late: those that wait for a server which releases
   * no slots, and those that the rate limit delays too much behind requests that arrived later.
   */
  refuseLateWaiters(nowMs: number): void {
    const late = this.#rateLimit
      ? this.#listDelayedByRate(this.#rateLimit, nowMs)
      : this.#waiters.filter(({ demand }) => this.#policy.wouldBeLate(demand, 0, nowMs));
    if (late.length === 0) return;
    this.#waiters = this.#waiters.filter((waiter) => !late.includes(waiter));
    late.forEach((waiter) => this.#settle(waiter, GateRefusal.DeadlineTooShort));
  }

  /**
   * Grants idle slots to another node, except the reserved ones and only while no request waits.
   *
   * @param wanted - number of slots that the other node could use
   * @returns number of granted slots, possibly 0
   */
  grant(wanted: number): number {
    if (this.#isClosed || this.#waiters.length > 0 || this.#rateLimit) return 0;
    const idle = this.capacity - this.used - this.reserved;
    const count = Math.max(0, Math.min(wanted, idle));
    this.#granted += count;
    return count;
  }

  /** Releases granted slots after the other node returned them or their lease ended. */
  releaseGranted(count: number, nowMs: number): void {
    this.#granted -= count;
    this.admitWaiters(nowMs);
  }

  /** Lists the waiting requests that are late in the order in which the rate limit admits them. */
  #listDelayedByRate(rateLimit: RateLimit, nowMs: number): Waiter[] {
    const late: Waiter[] = [];
    let remaining = [...this.#waiters];
    let ahead = 0;
    while (remaining.length > 0) {
      const admittedCount = this.#admittedCount + ahead;
      const next = this.#policy.selectNext(remaining, { admittedCount, nowMs });
      if (!next) break;
      const waitMs = rateLimit.computeWaitMs(ahead, nowMs);
      if (this.#policy.wouldBeLate(next.demand, waitMs, nowMs)) late.push(next);
      else ahead += 1;
      remaining = remaining.filter((waiter) => waiter !== next);
    }
    return late;
  }

  #findRefusal({ demand }: Waiter, nowMs: number): GateRefusal | undefined {
    if (this.#isClosed) return GateRefusal.Closed;
    return demand.deadlineMs <= nowMs ? GateRefusal.DeadlinePassed : undefined;
  }

  /** Admits waiting requests to free slots. */
  admitWaiters(nowMs: number): void {
    let next = this.#shiftNext(nowMs);
    while (next) {
      const { deadlineMs, minServiceMs = 0 } = next.demand;
      if (deadlineMs <= nowMs) this.#settle(next, GateRefusal.DeadlinePassed);
      else if (deadlineMs < nowMs + minServiceMs) {
        this.#settle(next, GateRefusal.DeadlineTooShort);
      } else this.#occupySlot(next, nowMs);
      next = this.#shiftNext(nowMs);
    }
  }

  #isWithinRate(nowMs: number): boolean {
    return this.#rateLimit?.hasToken(nowMs) ?? true;
  }

  #canAdmit(waiter: Waiter, nowMs: number): boolean {
    if (!this.#isWithinRate(nowMs)) return false;
    return this.#hasSlotFor(waiter.demand) && !this.#hasPrecedingWaiter(waiter);
  }

  #estimateQueueMs(ahead: readonly Waiter[], nowMs: number): number {
    const { capacity, work } = this;
    const slotWaitMs = work
      ? work.estimateWaitMs(
          ahead.map(({ demand }) => demand),
          capacity,
          nowMs,
        )
      : ((ahead.length + 1) * this.#meanHoldMs) / capacity;
    return Math.max(slotWaitMs, this.#rateLimit?.computeWaitMs(ahead.length, nowMs) ?? 0);
  }

  #hasSlotFor(demand: SlotDemand): boolean {
    if (this.used >= this.capacity) return false;
    return !demand.isSlow || this.#usedSlow < this.capacity - this.reserved;
  }

  /** Returns whether a waiting request of the same or a lower rank could use the slot first. */
  #hasPrecedingWaiter({ rank }: Waiter): boolean {
    return this.#waiters.some((other) => other.rank <= rank && this.#hasSlotFor(other.demand));
  }

  #occupySlot(waiter: Waiter, nowMs: number): void {
    if (waiter.demand.isSlow) this.#usedSlow += 1;
    else this.#usedQuick += 1;
    this.#startSumMs += nowMs;
    this.work?.start(waiter.demand, nowMs);
    this.#admittedCount += 1;
    this.#rateLimit?.take(nowMs);
    this.#settle(waiter, undefined);
  }

  #settle(waiter: Waiter, refusal: GateRefusal | undefined): void {
    const settled = waiter;
    settled.isSettled = true;
    this.#policy.recordDecision(waiter.demand, refusal === undefined);
    settled.onDecided(refusal);
  }

  #enqueue(waiter: Waiter, nowMs: number): void {
    const { demand, rank } = waiter;
    const ahead = this.#waiters.filter((other) => other.rank <= rank);
    const waitMs = this.#estimateQueueMs(ahead, nowMs);
    if (this.#policy.wouldBeLate(demand, waitMs, nowMs)) {
      this.#settle(waiter, GateRefusal.DeadlineTooShort);
      return;
    }
    if (this.#waiters.length >= this.#policy.getQueueLimit(this.#slots) && !this.#displace(rank)) {
      this.#settle(waiter, GateRefusal.QueueFull);
      return;
    }
    this.#waiters.push(waiter);
  }

  /** Refuses the newest of the least urgent waiting requests if it is less urgent than the rank. */
  #displace(rank: number): boolean {
    const highestRank = this.#waiters.reduce((highest, other) => Math.max(highest, other.rank), 0);
    if (highestRank <= rank) return false;
    const index = this.#waiters.findLastIndex((other) => other.rank === highestRank);
    const [displaced] = this.#waiters.splice(index, 1);
    if (displaced) this.#settle(displaced, GateRefusal.Displaced);
    return true;
  }

  #withdraw(waiter: Waiter, nowMs: number): void {
    if (waiter.isSettled) return;
    this.#waiters = this.#waiters.filter((other) => other !== waiter);
    this.admitWaiters(nowMs);
  }

  /** Removes and returns the next waiting request that can use a free slot. */
  #shiftNext(nowMs: number): Waiter | undefined {
    if (!this.#isWithinRate(nowMs)) return undefined;
    const admissible = this.#waiters.filter((waiter) => this.#hasSlotFor(waiter.demand));
    const admittedCount = this.#admittedCount;
    const next = this.#policy.selectNext(admissible, { admittedCount, nowMs });
    if (next) this.#waiters.splice(this.#waiters.indexOf(next), 1);
    return next;
  }
}
