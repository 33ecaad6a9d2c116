import { ConcurrencyLimiter } from './ConcurrencyLimiter.js';

import type { LimiterSample } from './ConcurrencyLimiter.js';

/** Samples per measurement; the mean of 100 exponential latencies has a standard error of 10%. */
const WINDOW_SAMPLES = 100;
/** Share of the limit that must be in use for a measurement to be valid. */
const MIN_UTILIZATION = 0.8;
/** Limit of a trial with fewer slots, relative to the settled limit. */
const LOWER_FACTOR = 0.7;
/** Share of the settled throughput that a lower limit must reach to be kept. */
const LOWER_MIN_THROUGHPUT_RATIO = 0.93;
/** Limit of a trial with more slots, relative to the settled limit. */
const HIGHER_FACTOR = 1.3;
/** Multiple of the settled throughput that a higher limit must reach to be kept. */
const HIGHER_MIN_THROUGHPUT_RATIO = 1.12;
/** Factor on the limit after a window in which the server shed requests or timed out. */
const OVERLOAD_FACTOR = 0.8;

const MIN_ELAPSED_MS = 1;
/** Maximum of measurements before the next trial; each rejected trial doubles their number. */
const MAX_PAUSE_WINDOWS = 16;

enum Phase {
  Measure = 'MEASURE',
  TryLower = 'TRY_LOWER',
  TryHigher = 'TRY_HIGHER',
}

interface Window {
  /** Requests sent before the window began, which are excluded from the measurement. */
  skipped: number;
  count: number;
  startedAtMs: number;
  costSum: number;
  inFlightSum: number;
  overloads: number;
}

const createWindow = (): Window => ({
  skipped: 0,
  count: 0,
  startedAtMs: 0,
  costSum: 0,
  inFlightSum: 0,
  overloads: 0,
});

/**
 * Searches for the lowest limit with full throughput, at most the announced slots.
 *
 * While the limit is fully used, the limiter measures the throughput at the settled limit, then
 * tries a lower or a higher one, and keeps the better. If a lower limit costs no throughput, the
 * server queued requests internally. Latency is not compared with a baseline, since a server that
 * is overloaded from its start never shows its unloaded latency.
 */
export default class AdaptiveLimiter extends ConcurrencyLimiter {
  #slots: number;

  #limit: number;

  /** Limit that is restored after a rejected trial. */
  #settledLimit: number;

  #settledThroughput = 0;

  #phase = Phase.Measure;

  #lastTrial = Phase.TryHigher;

  #pauseWindows = 1;

  #pauseLeft = 1;

  #window = createWindow();

  constructor(slots: number) {
    super();
    this.#slots = slots;
    this.#limit = slots;
    this.#settledLimit = slots;
  }

  override get limit(): number {
    return this.#limit;
  }

  override setSlots(slots: number): void {
    const isFull = this.#settledLimit >= this.#slots;
    this.#slots = slots;
    this.#settle(isFull ? slots : Math.min(this.#settledLimit, slots));
  }

  override add(sample: LimiterSample, nowMs: number): void {
    const window = this.#window;
    if (sample.isOverload) {
      window.overloads += 1;
    } else if (window.skipped < this.#limit) {
      // These requests were sent under the previous limit.
      window.skipped += 1;
      window.startedAtMs = nowMs;
      return;
    } else {
      window.costSum += sample.relativeCost;
      window.inFlightSum += sample.inFlight;
    }
    window.count += 1;
    if (window.count >= WINDOW_SAMPLES) this.#endWindow(window, nowMs);
  }

  #endWindow(window: Window, nowMs: number): void {
    this.#window = createWindow();
    const meanInFlight = window.inFlightSum / window.count;
    if (window.overloads > 0) {
      this.#settle(Math.floor(this.#limit * OVERLOAD_FACTOR));
    } else if (meanInFlight < this.#limit * MIN_UTILIZATION) {
      this.#settle(this.#settledLimit);
    } else {
      this.#evaluateThroughput(
        window.costSum / Math.max(MIN_ELAPSED_MS, nowMs - window.startedAtMs),
      );
    }
  }

  #evaluateThroughput(throughput: number): void {
    const ratio = throughput / this.#settledThroughput;
    switch (this.#phase) {
      case Phase.TryLower:
        this.#endTrial(ratio >= LOWER_MIN_THROUGHPUT_RATIO);
        break;
      case Phase.TryHigher:
        this.#endTrial(ratio >= HIGHER_MIN_THROUGHPUT_RATIO);
        break;
      default:
        this.#settledThroughput = throughput;
        this.#pauseLeft -= 1;
        if (this.#pauseLeft <= 0) this.#startTrial();
    }
  }

  #endTrial(isKept: boolean): void {
    this.#pauseWindows = isKept ? 1 : Math.min(MAX_PAUSE_WINDOWS, this.#pauseWindows * 2);
    this.#pauseLeft = this.#pauseWindows;
    this.#settle(isKept ? this.#limit : this.#settledLimit);
  }

  #startTrial(): void {
    const canRise = this.#settledLimit < this.#slots;
    const isHigher = canRise && this.#lastTrial === Phase.TryLower;
    this.#phase = isHigher ? Phase.TryHigher : Phase.TryLower;
    this.#lastTrial = this.#phase;
    this.#limit = isHigher
      ? Math.min(this.#slots, Math.ceil(this.#settledLimit * HIGHER_FACTOR))
      : Math.max(1, Math.floor(this.#settledLimit * LOWER_FACTOR));
  }

  #settle(limit: number): void {
    this.#settledLimit = Math.min(this.#slots, Math.max(1, limit));
    this.#limit = this.#settledLimit;
    this.#phase = Phase.Measure;
    this.#window = createWindow();
  }
}
