import { ConcurrencyLimiter } from './ConcurrencyLimiter.js';

/** Allows exactly the announced slots; baseline for adaptive limiters. */
export default class FixedLimiter extends ConcurrencyLimiter {
  #slots: number;

  constructor(slots: number) {
    super();
    this.#slots = slots;
  }

  override get limit(): number {
    return this.#slots;
  }

  override setSlots(slots: number): void {
    this.#slots = slots;
  }

  override add(): void {
    // Measurements do not change the limit.
  }
}
