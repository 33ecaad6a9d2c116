/** State of a server's circuit. */
export enum CircuitState {
  Closed = 'CLOSED',
  Open = 'OPEN',
  /** One trial request at a time checks whether the server has recovered. */
  HalfOpen = 'HALF_OPEN',
}

interface Circuit {
  state: CircuitState;
  openUntilMs: number;
  /** Consecutive times that the circuit opened; the pause grows with it. */
  openCount: number;
  isTrialInFlight: boolean;
}

const BASE_PAUSE_MS = 1_000;
const MAX_PAUSE_MS = 30_000;

/** Keeps requests away from failing servers; implementations decide when a circuit opens. */
export abstract class CircuitBreaker {
  readonly #circuits = new Map<string, Circuit>();

  /**
   * Returns whether requests may be sent to a server.
   *
   * @param key - key of the server, unique among all nodes
   * @param nowMs - present time in milliseconds since the epoch
   */
  allows(key: string, nowMs: number): boolean {
    const circuit = this.#circuits.get(key);
    if (!circuit || circuit.state === CircuitState.Closed) return true;
    return nowMs >= circuit.openUntilMs && !circuit.isTrialInFlight;
  }

  /** Returns the circuit state of a server. */
  getState(key: string, nowMs: number): CircuitState {
    const circuit = this.#circuits.get(key);
    if (!circuit) return CircuitState.Closed;
    const isPauseOver = circuit.state === CircuitState.Open && nowMs >= circuit.openUntilMs;
    return isPauseOver ? CircuitState.HalfOpen : circuit.state;
  }

  /** Records a request to the server; the first one after the pause is the trial request. */
  addRequest(key: string, nowMs: number): void {
    const circuit = this.#circuits.get(key);
    if (circuit?.state === CircuitState.Open && nowMs >= circuit.openUntilMs) {
      circuit.state = CircuitState.HalfOpen;
      circuit.isTrialInFlight = true;
    }
  }

  /** Records a response that does not count as a failure, and closes the circuit. */
  addSuccess(key: string, nowMs: number): void {
    const circuit = this.#circuits.get(key);
    if (circuit && circuit.state !== CircuitState.Closed) this.#circuits.delete(key);
    this.recordOutcome(key, false, nowMs);
  }

  /** Records a failure of the server. */
  addFailure(key: string, nowMs: number): void {
    const shouldOpen = this.recordOutcome(key, true, nowMs);
    const circuit = this.#circuits.get(key);
    if (circuit?.state === CircuitState.HalfOpen || (shouldOpen && !circuit)) {
      this.#open(key, circuit, nowMs);
    }
  }

  /** Records a request that did not show whether the server works, such as a cancelled one. */
  addInconclusive(key: string): void {
    const circuit = this.#circuits.get(key);
    if (circuit?.state !== CircuitState.HalfOpen) return;
    circuit.state = CircuitState.Open;
    circuit.isTrialInFlight = false;
  }

  /** Removes the circuits of servers that are no longer known. */
  retain(isKnown: (key: string) => boolean): void {
    [...this.#circuits.keys()]
      .filter((key) => !isKnown(key))
      .forEach((key) => this.#circuits.delete(key));
    this.removeUnknown(isKnown);
  }

  /**
   * Updates the failure statistics of a server with one outcome.
   *
   * @returns true when the circuit should open
   */
  protected abstract recordOutcome(key: string, isFailure: boolean, nowMs: number): boolean;

  /** Removes the failure statistics of servers that are no longer known. */
  protected abstract removeUnknown(isKnown: (key: string) => boolean): void;

  #open(key: string, circuit: Circuit | undefined, nowMs: number): void {
    const openCount = (circuit?.openCount ?? 0) + 1;
    const pauseMs = Math.min(MAX_PAUSE_MS, BASE_PAUSE_MS * 2 ** (openCount - 1));
    this.#circuits.set(key, {
      state: CircuitState.Open,
      openUntilMs: nowMs + pauseMs,
      openCount,
      isTrialInFlight: false,
    });
  }
}
