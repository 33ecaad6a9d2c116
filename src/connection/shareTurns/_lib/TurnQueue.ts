import TurnBudget from './TurnBudget/index.js';

/** A connection that waits for its turn. */
export interface Waiter {
  /** Called when its turn has come. */
  grant: () => void;
}

/**
 * Lets the wasteful connections of this process, to callers and to upstreams, take turns: one piece of
 * one connection per turn of the event loop, within a share of the time.
 */
export default class TurnQueue {
  readonly #budget = new TurnBudget();

  readonly #waiting = new Set<Waiter>();

  #isScheduled = false;

  /** Whether wasteful pieces are expected. */
  isUnderPressure(): boolean {
    return this.#budget.isUnderPressure(performance.now());
  }

  record(spentMs: number, nowMs: number): void {
    this.#budget.record(spentMs, nowMs);
  }

  add(waiter: Waiter): void {
    this.#waiting.add(waiter);
    this.#schedule();
  }

  remove(waiter: Waiter): void {
    this.#waiting.delete(waiter);
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    // What the connection of the last turn brought is parsed before the next turn.
    setImmediate(() => this.#awaitTurn());
  }

  #awaitTurn(): void {
    const waitMs = this.#budget.computeWaitMs(performance.now());
    if (waitMs > 0) setTimeout(() => this.#awaitTurn(), Math.ceil(waitMs));
    else this.#grant();
  }

  #grant(): void {
    this.#isScheduled = false;
    const [next] = this.#waiting;
    if (!next) return;
    this.#waiting.delete(next);
    next.grant();
    if (this.#waiting.size > 0) this.#schedule();
  }
}
