/** Servers that stated their departure in a response to this node. */
import { formatServerKey } from '../observeServers/index.js';

import type { ServerEntry } from '../../process/endpoints/types.js';

/** Longer than a server takes to stop after it has stated its departure. */
const RETENTION_MS = 600_000;

interface Departure {
  /** Start of the server process; 0 when it was unknown. */
  bornAtMs: bigint;
  keptUntilMs: number;
}

/**
 * Remembers departures independently of the endpoint records, which may arrive late, or come from a
 * restarted node that has not read the response.
 */
export default class DepartureTracker {
  readonly #byKey = new Map<string, Departure>();

  /**
   * Records that a server stated its departure.
   *
   * @param entry - the server
   * @param nowMs - present time in milliseconds
   */
  record(entry: ServerEntry, nowMs: number): void {
    const { bornAtMs } = entry.server;
    this.#byKey.set(formatServerKey(entry), { bornAtMs, keptUntilMs: nowMs + RETENTION_MS });
  }

  /** Returns whether a server stated its departure; one that started again under its id did not. */
  isDeparting(entry: ServerEntry): boolean {
    if (this.#byKey.size === 0) return false;
    const departure = this.#byKey.get(formatServerKey(entry));
    if (!departure) return false;
    const { bornAtMs } = entry.server;
    // The start time of a server that was found by a probe is known from its next announcement on.
    if (departure.bornAtMs === 0n) departure.bornAtMs = bornAtMs;
    return bornAtMs === 0n || bornAtMs === departure.bornAtMs;
  }

  /** Removes the departures whose retention has ended. */
  expire(nowMs: number): void {
    [...this.#byKey]
      .filter(([, { keptUntilMs }]) => keptUntilMs <= nowMs)
      .forEach(([key]) => this.#byKey.delete(key));
  }
}
