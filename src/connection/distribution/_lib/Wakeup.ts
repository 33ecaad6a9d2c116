/** Auto-reset event for one waiting task: a signal set before the wait ends that wait. */
export default class Wakeup {
  #isSet = false;

  #resolve: (() => void) | undefined;

  /** Ends the current wait, or the next one if none is active. */
  set(): void {
    this.#isSet = true;
    this.#resolve?.();
  }

  /**
   * Waits for the signal and resets it.
   *
   * @param limitMs - longest wait in milliseconds; unlimited by default
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
