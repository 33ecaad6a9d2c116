import { CircuitBreaker } from './CircuitBreaker.js';

const DEFAULT_FAILURES = 5;

/** Opens after consecutive failures; does not detect a server that fails every other request. */
export default class ConsecutiveFailureBreaker extends CircuitBreaker {
  readonly #failuresByKey = new Map<string, number>();

  readonly #limit: number;

  /** @param limit - consecutive failures that open the circuit */
  constructor(limit: number = DEFAULT_FAILURES) {
    super();
    this.#limit = limit;
  }

  protected override recordOutcome(key: string, isFailure: boolean): boolean {
    if (!isFailure) {
      this.#failuresByKey.delete(key);
      return false;
    }
    const failures = (this.#failuresByKey.get(key) ?? 0) + 1;
    this.#failuresByKey.set(key, failures);
    return failures >= this.#limit;
  }

  protected override removeUnknown(isKnown: (key: string) => boolean): void {
    [...this.#failuresByKey.keys()]
      .filter((key) => !isKnown(key))
      .forEach((key) => this.#failuresByKey.delete(key));
  }
}
