import { CircuitBreaker } from './CircuitBreaker.js';

/** Weight of the newest outcome. */
const SAMPLE_WEIGHT = 0.15;
/** Four failures in a row, or about three of four over a longer time, exceed this. */
const OPEN_THRESHOLD = 0.45;
/** Old outcomes lose half of their weight in this time. */
const HALF_LIFE_MS = 10_000;

interface Rate {
  value: number;
  atMs: number;
}

/** Opens when a moving average of failures is high; also catches a server that fails partly. */
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
