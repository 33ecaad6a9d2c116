export interface SnapshotAdmissionOptions {
  /** Maximum number of concurrent snapshots. */
  slots: number;
  /** Time after which a slot that was not released expires. */
  slotTimeoutMs: number;
  /** Minimum delay before a refused node retries. */
  retryAfterMs: number;
  /** Uniform in [0, 1). */
  random: () => number;
}

/** Limits concurrent snapshots, so that a reconnect storm does not exhaust the process. */
export class SnapshotAdmission {
  readonly #options: SnapshotAdmissionOptions;

  readonly #expiresAtMs = new Map<string, number>();

  readonly #waiting = new Map<string, () => void>();

  constructor(options: SnapshotAdmissionOptions) {
    this.#options = options;
  }

  /** Number of slots in use. */
  get usedSlots(): number {
    return this.#expiresAtMs.size;
  }

  /**
   * Acquires a slot for a node.
   *
   * @returns false when all slots are in use
   */
  admit(nodeId: string, nowMs: number): boolean {
    this.#expiresAtMs.forEach((expiresAtMs, holder) => {
      if (expiresAtMs <= nowMs) this.#expiresAtMs.delete(holder);
    });
    if (!this.#expiresAtMs.has(nodeId) && this.#expiresAtMs.size >= this.#options.slots)
      return false;
    this.#expiresAtMs.set(nodeId, nowMs + this.#options.slotTimeoutMs);
    return true;
  }

  /**
   * Queues an attached node for the next free slot, which is not reserved for it.
   *
   * @param onSlotFree - called once when a slot is free; must call `admit` again
   */
  waitForSlot(nodeId: string, onSlotFree: () => void): void {
    this.#waiting.set(nodeId, onSlotFree);
  }

  /** Releases the slot of a node after its report or the end of its session. */
  release(nodeId: string): void {
    this.#waiting.delete(nodeId);
    if (!this.#expiresAtMs.delete(nodeId)) return;
    const [next] = this.#waiting;
    if (next === undefined) return;
    const [waitingId, onSlotFree] = next;
    this.#waiting.delete(waitingId);
    onSlotFree();
  }

  /** Chooses the retry delay of a refused node: one to two times the minimum. */
  chooseRetryAfterMs(): number {
    return Math.ceil(this.#options.retryAfterMs * (1 + this.#options.random()));
  }
}
