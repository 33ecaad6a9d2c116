/** Slots of local servers that are granted to entry nodes, which then call the server directly. */
import type { SlotGate } from '../../process/localServers/index.js';

/** Time after its request during which the entry node may start calls. */
export const GRANT_LEASE_MS = 1_000;
/** Calls with a longer deadline do not use a grant, which bounds the time that a grant is held. */
export const GRANT_MAX_CALL_MS = 5_000;
/** No slot is granted above this share of slots in use, as a grant may be idle for its whole lease. */
const MAX_GRANTING_LOAD = 0.6;

interface Grant {
  gate: SlotGate;
  /** When the slot is released even if the entry node does not return it; monotonic clock. */
  expiresAtMs: number;
}

/**
 * Grants slots of local servers to other nodes, and tracks the grants.
 *
 * Each grant is one slot with its own id, so renewals and returns may be reordered or lost in
 * transit. A granted slot counts as used until it is returned, or until the lease and the longest
 * call that could have been made with it have ended.
 */
export class SlotGrantor {
  readonly #grants = new Map<string, Grant>();

  readonly #idPrefix: string;

  #lastId = 0;

  #isStopped = false;

  /** @param incarnation - start time of the node; makes ids unique across restarts */
  constructor(incarnation: bigint) {
    this.#idPrefix = incarnation.toString(36);
  }

  get size(): number {
    return this.#grants.size;
  }

  /**
   * Grants one slot if enough slots of the server are idle.
   *
   * @param gate - gate of the server
   * @param nowMs - present time on a monotonic clock
   * @returns id of the grant; undefined when no slot is granted
   */
  grant(gate: SlotGate, nowMs: number): string | undefined {
    if (this.#isStopped || gate.used >= gate.capacity * MAX_GRANTING_LOAD) return undefined;
    if (gate.grant(1) === 0) return undefined;
    this.#lastId += 1;
    const id = `${this.#idPrefix}.${this.#lastId.toString(36)}`;
    this.#grants.set(id, { gate, expiresAtMs: nowMs + GRANT_LEASE_MS + GRANT_MAX_CALL_MS });
    return id;
  }

  /**
   * Renews grants whose server is open and has no waiting requests.
   *
   * @param ids - grants that the entry node used recently
   * @param nowMs - present time on a monotonic clock
   * @returns ids of the renewed grants; the others remain usable until their lease ends
   */
  renew(ids: string[], nowMs: number): string[] {
    if (this.#isStopped) return [];
    return ids.filter((id) => {
      const grant = this.#grants.get(id);
      if (!grant || grant.gate.isClosed || grant.gate.waiting > 0) return false;
      // Direct calls do not pass the gate, which keeps the rate limit of the server.
      if (grant.gate.maxRequestsPerSecond !== undefined) return false;
      grant.expiresAtMs = nowMs + GRANT_LEASE_MS + GRANT_MAX_CALL_MS;
      return true;
    });
  }

  /** Releases the slots of returned grants; unknown ids are ignored. */
  release(ids: string[], nowMs: number): void {
    ids.forEach((id) => {
      const grant = this.#grants.get(id);
      if (!grant) return;
      this.#grants.delete(id);
      grant.gate.releaseGranted(1, nowMs);
    });
  }

  /** Releases the slots of grants that expired without being returned. */
  expire(nowMs: number): void {
    const expired = [...this.#grants].filter(([, grant]) => grant.expiresAtMs <= nowMs);
    this.release(
      expired.map(([id]) => id),
      nowMs,
    );
  }

  /** Stops granting and renewing, because the node drains. */
  stop(): void {
    this.#isStopped = true;
  }
}
