/** Exact count of the slots of one backend server, with a short queue bounded by deadline. */

/** Why a server's gate refused a request. */
export enum GateRefusal {
  QueueFull = 'QUEUE_FULL',
  DeadlineTooShort = 'DEADLINE_TOO_SHORT',
  DeadlinePassed = 'DEADLINE_PASSED',
  Closed = 'SERVER_CLOSED',
}

/** What a request asks of a gate. */
export interface SlotDemand {
  /** Latest useful start, in milliseconds since the epoch. */
  deadlineMs: number;
  isRetry: boolean;
  /** Route whose requests take much longer than those of the quickest route of the server. */
  isSlow: boolean;
}

/** Called once, possibly before `admit` returns; no refusal means a slot was taken. */
export type AdmissionListener = (refusal: GateRefusal | undefined) => void;

interface Waiter {
  demand: SlotDemand;
  onDecided: AdmissionListener;
}

export interface SlotGateOptions {
  slots: number;
  /** Waiting requests per slot. */
  queuePerSlot?: number;
}

const DEFAULT_QUEUE_PER_SLOT = 2;

export class SlotGate {
  #slots: number;

  #used = 0;

  #isClosed = false;

  readonly #queuePerSlot: number;

  readonly #waiters: Waiter[] = [];

  constructor(options: SlotGateOptions) {
    this.#slots = options.slots;
    this.#queuePerSlot = options.queuePerSlot ?? DEFAULT_QUEUE_PER_SLOT;
  }

  get used(): number {
    return this.#used;
  }

  get waiting(): number {
    return this.#waiters.length;
  }

  get slots(): number {
    return this.#slots;
  }

  setSlots(slots: number, nowMs: number): void {
    this.#slots = slots;
    this.#admitWaiters(nowMs);
  }

  /** Admits again after `close`. */
  open(): void {
    this.#isClosed = false;
  }

  /** Refuses everything that waits and everything that comes. */
  close(): void {
    this.#isClosed = true;
    this.#waiters.splice(0).forEach((waiter) => waiter.onDecided(GateRefusal.Closed));
  }

  /**
   * Takes a slot now or after a wait.
   *
   * @param demand - deadline and priority
   * @param nowMs - present time in milliseconds since the epoch
   * @param onDecided - called once with the decision
   * @returns a function that withdraws a request that still waits
   */
  admit(demand: SlotDemand, nowMs: number, onDecided: AdmissionListener): () => void {
    const noop = () => undefined;
    if (this.#isClosed) {
      onDecided(GateRefusal.Closed);
      return noop;
    }
    if (demand.deadlineMs <= nowMs) {
      onDecided(GateRefusal.DeadlinePassed);
      return noop;
    }
    if (this.#used < this.#slots) {
      this.#used += 1;
      onDecided(undefined);
      return noop;
    }
    if (this.#waiters.length >= this.#slots * this.#queuePerSlot) {
      onDecided(GateRefusal.QueueFull);
      return noop;
    }
    const waiter: Waiter = { demand, onDecided };
    this.#waiters.push(waiter);
    return () => {
      const index = this.#waiters.indexOf(waiter);
      if (index >= 0) this.#waiters.splice(index, 1);
    };
  }

  /** Gives a slot back. */
  release(nowMs: number): void {
    this.#used -= 1;
    this.#admitWaiters(nowMs);
  }

  #admitWaiters(nowMs: number): void {
    while (this.#used < this.#slots) {
      const waiter = this.#waiters.shift();
      if (!waiter) return;
      if (waiter.demand.deadlineMs <= nowMs) {
        waiter.onDecided(GateRefusal.DeadlinePassed);
      } else {
        this.#used += 1;
        waiter.onDecided(undefined);
      }
    }
  }
}
