import { CircuitBreaker } from './CircuitBreaker.js';

/** Weight of the newest outcome in the moving average. */
const SAMPLE_WEIGHT = 0.15;
/** Rate that opens the circuit; four failures in a row, or about three of four, exceed it. */
const OPEN_THRESHOLD = 0.45;
/** Half-life of the moving average. */
const HALF_LIFE_MS = 10_000;

interface Rate {
  value: number;
  atMs: number;
}

/** Opens when the moving failure rate is high; also detects a server with partial failures. */
export default class FailureRateBreaker extends CircuitBreaker {
  readonly #rateByKey = new Map<string, Rate>();

  protected override recordOutcome(key: string, isFailure: boolean, nowMs: number): boolean {
    const rate = this.#rateByKey.get(key);
    if (!rate) {
      if (isFailure) this.#rateByKey.set(key, { value: SAMPLE_WEIGHT, atMs: nowMs });
      return false;
    }
    const decayed = rate.value * 0.5 ** ((nowMs - rate.atMs) / HALF_LIFE_MS);
    rate.value = decayed + SAMPLE_WEIGHT * ((isFailure ? 1 : 0) - decayed);
    rate.atMs = nowMs;
    return rate.value > OPEN_THRESHOLD;
  }

  protected override removeUnknown(isKnown: (key: string) => boolean): void {
    [...this.#rateByKey.keys()]
      .filter((key) => !isKnown(key))
      .forEach((key) => this.#rateByKey.delete(key));
  }
}
