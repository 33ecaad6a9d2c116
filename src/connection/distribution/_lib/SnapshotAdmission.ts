export interface SnapshotAdmissionOptions {
  /** Snapshots sent at the same time. */
  slots: number;
  /** Time after which a slot is free even without a release. */
  slotMs: number;
  /** Shortest time after which a refused node comes back. */
  retryAfterMs: number;
  /** Uniform in [0, 1). */
  random: () => number;
}

/** Bounds the snapshots that are under way, so that a reconnect storm does not exhaust the process. */
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
   * Takes a slot for a node.
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
   * Has an attached node called when a slot is free; it then asks again.
   *
   * @param onFree - called once
   */
  wait(nodeId: string, onFree: () => void): void {
    this.#waiting.set(nodeId, onFree);
  }

  /** Frees the slot of a node, when it reported or left. */
  release(nodeId: string): void {
    this.#waiting.delete(nodeId);
    if (!this.#endsAtMs.delete(nodeId)) return;
    const [next] = this.#waiting;
    if (next === undefined) return;
    const [waitingId, onFree] = next;
    this.#waiting.delete(waitingId);
    onFree();
  }

  /** Chooses when a refused node comes back: one to two times the shortest time. */
  chooseRetryAfterMs(): number {
    return Math.ceil(this.#options.retryAfterMs * (1 + this.#options.random()));
  }
}
