/** Slots that the node beside a server lends to entry nodes, so that these call it directly. */
import type { SlotGate } from '../../process/localServers/index.js';

/** A borrower may start calls during this time after it asked. */
export const GRANT_LEASE_MS = 1_000;
/** Calls with a longer deadline are not made with a grant, so that every grant surely ends. */
export const GRANT_MAX_CALL_MS = 5_000;
/** Nothing is lent above this share of slots in use: a lent slot may idle for a lease. */
const MAX_LENDING_LOAD = 0.6;

interface Grant {
  gate: SlotGate;
  /** When the slot is free again even if the borrower never returns it; monotonic clock. */
  expiresAtMs: number;
}

/**
 * Ledger of the lent slots of this node.
 *
 * Each grant is one slot with an id of its own, so that renewals and returns may cross in transit
 * or be lost. A grant counts as used until it is returned, or until its lease and the longest call
 * made with it are over.
 */
export class SlotLender {
  readonly #grants = new Map<string, Grant>();

  readonly #idPrefix: string;

  #lastId = 0;

  #isStopped = false;

  /** @param incarnation - start time of the node, so that ids of an earlier process are unknown */
  constructor(incarnation: bigint) {
    this.#idPrefix = incarnation.toString(36);
  }

  get size(): number {
    return this.#grants.size;
  }

  /**
   * Lends one slot if the server has enough idle ones.
   *
   * @param gate - gate of the server
   * @param nowMs - present time on a monotonic clock
   * @returns id of the grant
   */
  lend(gate: SlotGate, nowMs: number): string | undefined {
    if (this.#isStopped || gate.used >= gate.capacity * MAX_LENDING_LOAD) return undefined;
    if (gate.lend(1) === 0) return undefined;
    this.#lastId += 1;
    const id = `${this.#idPrefix}.${this.#lastId.toString(36)}`;
    this.#grants.set(id, { gate, expiresAtMs: nowMs + GRANT_LEASE_MS + GRANT_MAX_CALL_MS });
    return id;
  }

  /**
   * Renews grants whose server still has slots to spare.
   *
   * @param ids - grants that the borrower used lately
   * @param nowMs - present time on a monotonic clock
   * @returns the renewed ones; the others may be used until their lease ends
   */
  renew(ids: string[], nowMs: number): string[] {
    if (this.#isStopped) return [];
    return ids.filter((id) => {
      const grant = this.#grants.get(id);
      if (!grant || grant.gate.isClosed || grant.gate.waiting > 0) return false;
      grant.expiresAtMs = nowMs + GRANT_LEASE_MS + GRANT_MAX_CALL_MS;
      return true;
    });
  }

  /** Takes returned grants back; unknown ids are ignored. */
  reclaim(ids: string[], nowMs: number): void {
    ids.forEach((id) => {
      const grant = this.#grants.get(id);
      if (!grant) return;
      this.#grants.delete(id);
      grant.gate.reclaim(1, nowMs);
    });
  }

  /** Takes back the grants of borrowers that vanished. */
  expire(nowMs: number): void {
    const expired = [...this.#grants].filter(([, grant]) => grant.expiresAtMs <= nowMs);
    this.reclaim(
      expired.map(([id]) => id),
      nowMs,
    );
  }

  /** Lends and renews nothing more, because the node drains. */
  stop(): void {
    this.#isStopped = true;
  }
}
