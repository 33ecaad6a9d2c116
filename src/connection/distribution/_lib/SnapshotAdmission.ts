export interface SnapshotAdmissionOptions {
  /** Maximum number of concurrent snapshots. */
  slots: number;
  /** Time after which a slot that was not released expires. */
  slotMs: number;
  /** Minimum delay before a refused node retries. */
  retryAfterMs: number;
  /** Uniform in [0, 1). */
  random: () => number;
}

/** Limits concurrent snapshots, so that a reconnect storm does not exhaust the process. */
export class SnapshotAdmission {
  readonly #options: SnapshotAdmissionOptions;

  readonly #endsAtMs = new Map<string, number>();

  readonly #waiting = new Map<string, () => void>();

  constructor(options: SnapshotAdmissionOptions) {
    this.#options = options;
  }

  /** Number of slots in use. */
  get usedSlots(): number {
    return this.#endsAtMs.size;
  }

  /**
   * Acquires a slot for a node.
   *
   * @returns false when all slots are in use
   */
  admit(nodeId: string, nowMs: number): boolean {
    this.#endsAtMs.forEach((endsAtMs, holder) => {
      if (endsAtMs <= nowMs) this.#endsAtMs.delete(holder);
    });
    if (!this.#endsAtMs.has(nodeId) && this.#endsAtMs.size >= this.#options.slots) return false;
    this.#endsAtMs.set(nodeId, nowMs + this.#options.slotMs);
    return true;
  }

  /**
   * Queues an attached node for the next free slot, which is not reserved for it.
   *
   * @param onFree - called once when a slot is free; must call `admit` again
   */
  wait(nodeId: string, onFree: () => void): void {
    this.#waiting.set(nodeId, onFree);
  }

  /** Releases the slot of a node after its report or the end of its session. */
  release(nodeId: string): void {
    this.#waiting.delete(nodeId);
    if (!this.#endsAtMs.delete(nodeId)) return;
    const [next] = this.#waiting;
    if (next === undefined) return;
    const [waitingId, onFree] = next;
    this.#waiting.delete(waitingId);
    onFree();
  }

  /** Chooses the retry delay of a refused node: one to two times the minimum. */
  chooseRetryAfterMs(): number {
    return Math.ceil(this.#options.retryAfterMs * (1 + this.#options.random()));
  }
}
