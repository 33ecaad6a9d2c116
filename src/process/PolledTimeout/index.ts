/**
 * Timeout of something that arrives over a connection.
 *
 * After a long turn of the event loop, timers run before connections are read, and what arrived in time
 * would count as missing. The callback runs only after the connections were polled once more, and not if
 * that cancelled or refreshed the timeout.
 *
 * @example
 * const timeout = new PolledTimeout(() => stream.close(), silenceMs);
 * stream.on('message', () => timeout.refresh());
 */
export default class PolledTimeout {
  readonly #timer: NodeJS.Timeout;

  #immediate: NodeJS.Immediate | undefined;

  /**
   * @param callback - called once, unless the timeout is cancelled
   * @param delayMs - time until then, from now or from the last refresh
   */
  constructor(callback: () => void, delayMs: number) {
    this.#timer = setTimeout(() => {
      this.#immediate = setImmediate(callback);
    }, delayMs);
  }

  /** Starts the delay anew. */
  refresh(): void {
    clearImmediate(this.#immediate);
    this.#timer.refresh();
  }

  cancel(): void {
    clearImmediate(this.#immediate);
    clearTimeout(this.#timer);
  }
}
