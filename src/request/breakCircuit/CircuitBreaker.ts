/** Whether a server takes requests, as this node observed it. */
export enum CircuitState {
  Closed = 'CLOSED',
  Open = 'OPEN',
  /** One request at a time tries whether the server works again. */
  HalfOpen = 'HALF_OPEN',
}

interface Circuit {
  state: CircuitState;
  openUntilMs: number;
  /** Times it opened in a row; the pause grows with it. */
  openCount: number;
  isTrialInFlight: boolean;
}

const BASE_PAUSE_MS = 1_000;
const MAX_PAUSE_MS = 30_000;

/** Keeps requests from servers that failed lately; implementations decide what is too much. */
export abstract class CircuitBreaker {
  readonly #circuits = new Map<string, Circuit>();

  /**
   * Tells whether a server may be chosen.
   *
   * @param key - name of the server, unique among all nodes
   * @param nowMs - present time in milliseconds since the epoch
   */
  allows(key: string, nowMs: number): boolean {
    const circuit = this.#circuits.get(key);
    if (!circuit || circuit.state === CircuitState.Closed) return true;
    return nowMs >= circuit.openUntilMs && !circuit.isTrialInFlight;
  }

  /** Returns the state of a server. */
  getState(key: string, nowMs: number): CircuitState {
    const circuit = this.#circuits.get(key);
    if (!circuit) return CircuitState.Closed;
    const isPauseOver = circuit.state === CircuitState.Open && nowMs >= circuit.openUntilMs;
    return isPauseOver ? CircuitState.HalfOpen : circuit.state;
  }

  /** Notes that a request was sent to the server; the first after the pause is the trial. */
  addRequest(key: string, nowMs: number): void {
    const circuit = this.#circuits.get(key);
    if (circuit?.state === CircuitState.Open && nowMs >= circuit.openUntilMs) {
      circuit.state = CircuitState.HalfOpen;
      circuit.isTrialInFlight = true;
    }
  }

  /** Notes a response that does not count against the server. */
  addSuccess(key: string, nowMs: number): void {
    const circuit = this.#circuits.get(key);
    if (circuit && circuit.state !== CircuitState.Closed) this.#circuits.delete(key);
    this.recordOutcome(key, false, nowMs);
  }

  /** Notes a failure of the server. */
  addFailure(key: string, nowMs: number): void {
    const shouldOpen = this.recordOutcome(key, true, nowMs);
    const circuit = this.#circuits.get(key);
    if (circuit?.state === CircuitState.HalfOpen || (shouldOpen && !circuit)) {
      this.#open(key, circuit, nowMs);
    }
  }

  /** Notes a request that ended without saying anything about the server. */
  addInconclusive(key: string): void {
    const circuit = this.#circuits.get(key);
    if (circuit?.state !== CircuitState.HalfOpen) return;
    circuit.state = CircuitState.Open;
    circuit.isTrialInFlight = false;
  }

  /** Drops the state of servers that are no longer known. */
  retain(isKnown: (key: string) => boolean): void {
    [...this.#circuits.keys()]
      .filter((key) => !isKnown(key))
      .forEach((key) => this.#circuits.delete(key));
    this.removeUnknown(isKnown);
  }

  /**
   * Learns from one outcome.
   *
   * @returns true when the server should take no requests for a while
   */
  protected abstract recordOutcome(key: string, isFailure: boolean, nowMs: number): boolean;

  /** Drops what was learnt about unknown servers. */
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
