/** Wakes one waiting task; a wake-up that comes before the wait is kept. */
export default class Wakeup {
  #isSet = false;

  #resolve: (() => void) | undefined;

  /** Ends the present wait, or the next one if there is none. */
  set(): void {
    this.#isSet = true;
    this.#resolve?.();
  }

  /** Resolves at the next wake-up. */
  async wait(): Promise<void> {
    if (!this.#isSet) {
      await new Promise<void>((resolve) => {
        this.#resolve = resolve;
      });
    }
    this.#isSet = false;
    this.#resolve = undefined;
  }
}
