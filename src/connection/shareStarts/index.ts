/** Starts of requests of connections whose callers send many requests ahead. */

/** Requests of all such connections that are handled at the same time. */
const MAX_RUNNING = 32;

/** A connection that waits for a turn. */
export interface StartTaker {
  /** Running requests of the connection that were started in turns. */
  readonly runningTurns: number;
  /**
   * Starts the next request of the connection; called once per turn.
   *
   * @returns whether a request was started; its end is to be reported
   */
  startNext: () => boolean;
}

/**
 * Shares a bounded number of requests among the connections that send many ahead, one request per
 * connection and round. Requests of other connections then don't wait behind theirs.
 *
 * A connection runs no more than are still free, so that later ones find some: alone, it gets half of
 * the bound.
 *
 * @example
 * const turns = new StartShare();
 * turns.ask(connection);
 * turns.grant();
 * turns.end();
 */
export class StartShare {
  readonly #maxRunning: number;

  readonly #waiting = new Set<StartTaker>();

  #running = 0;

  /** @param options - `maxRunning`: requests of all connections that are handled at the same time */
  constructor({ maxRunning = MAX_RUNNING }: { maxRunning?: number } = {}) {
    this.#maxRunning = maxRunning;
  }

  /** Number of requests that were started in a turn and have not ended. */
  get running(): number {
    return this.#running;
  }

  /** Number of connections that wait for a turn. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /**
   * Asks for a turn behind all connections that wait already; no effect on one that waits.
   *
   * @param taker - connection with a request to start
   */
  ask(taker: StartTaker): void {
    this.#waiting.add(taker);
  }

  /**
   * Withdraws what was asked for.
   *
   * @param taker - connection; no effect on one that does not wait
   */
  withdraw(taker: StartTaker): void {
    this.#waiting.delete(taker);
  }

  /** Reports the end of a request that was started in a turn. */
  end(): void {
    this.#running -= 1;
  }

  /** Gives turns to those that have waited longest, as far as the bound allows. */
  grant(): void {
    let next = this.#findNext();
    while (next) {
      this.#waiting.delete(next);
      if (next.startNext()) this.#running += 1;
      next = this.#findNext();
    }
  }

  #findNext(): StartTaker | undefined {
    const free = this.#maxRunning - this.#running;
    if (free <= 0) return undefined;
    const [longest] = this.#waiting;
    if (!longest || longest.runningTurns < free) return longest;
    return [...this.#waiting].find(({ runningTurns }) => runningTurns < free);
  }
}
