/** Wakes all tasks that wait for a state change. */
export default class Notifier {
  readonly #waiting = new Set<() => void>();

  /**
   * Resolves at the next `notify` or after the timeout.
   *
   * @param timeoutMs - longest wait in milliseconds
   */
  wait(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        clearTimeout(timer);
        this.#waiting.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, Math.max(0, timeoutMs));
      this.#waiting.add(finish);
    });
  }

  notify(): void {
    [...this.#waiting].forEach((finish) => finish());
  }
}
