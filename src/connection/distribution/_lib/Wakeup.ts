/** Wakes one waiting task; a wake-up that comes before the wait is kept. */
export default class Wakeup {
  #isSet = false;

  #resolve: (() => void) | undefined;

  /** Ends the present wait, or the next one if there is none. */
  set(): void {
    this.#isSet = true;
    this.#resolve?.();
  }

  /**
   * Resolves at the next wake-up.
   *
   * @param limitMs - longest wait; unlimited by default
   */
  async wait(limitMs?: number): Promise<void> {
    if (!this.#isSet) await this.#waitForSet(limitMs);
    this.#isSet = false;
    this.#resolve = undefined;
  }

  #waitForSet(limitMs: number | undefined): Promise<void> {
    return new Promise((resolve) => {
      const timer = limitMs === undefined ? undefined : setTimeout(resolve, limitMs);
      this.#resolve = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}
