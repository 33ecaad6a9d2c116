/** Nodes that did not answer lately, so that requests avoid them until they do. */

/** Pause after the first silence; it doubles with each further one. */
const BASE_PAUSE_MS = 300;
const MAX_PAUSE_MS = 2_000;

interface Outage {
  count: number;
  /** When the node is asked next. */
  nextProbeAtMs: number;
}

/**
 * Remembers which nodes are silent. A connection across a cut link or to a frozen VM neither fails
 * nor answers, so one request without an acknowledgement is enough to avoid the node for a while.
 */
export default class PeerTracker {
  readonly #outages = new Map<string, Outage>();

  /** Notes that a node acknowledged or answered something. */
  recordResponse(nodeId: string): void {
    this.#outages.delete(nodeId);
  }

  /**
   * Notes that a node could not be reached or did not acknowledge in time.
   *
   * @param nodeId - the node
   * @param nowMs - present time in milliseconds
   * @returns true when the node was not known to be silent before
   */
  recordFailure(nodeId: string, nowMs: number): boolean {
    const known = this.#outages.get(nodeId);
    if (known && nowMs < known.nextProbeAtMs) return false;
    const count = (known?.count ?? 0) + 1;
    const pauseMs = Math.min(MAX_PAUSE_MS, BASE_PAUSE_MS * 2 ** (count - 1));
    this.#outages.set(nodeId, { count, nextProbeAtMs: nowMs + pauseMs });
    return !known;
  }

  /** Tells whether a node is avoided now. */
  isUnresponsive(nodeId: string): boolean {
    return this.#outages.has(nodeId);
  }

  /** Returns the silent nodes that are to be asked now whether they answer again. */
  listDueForProbe(nowMs: number): string[] {
    return [...this.#outages]
      .filter(([, { nextProbeAtMs: untilMs }]) => untilMs <= nowMs)
      .map(([id]) => id);
  }

  /** Drops the state of nodes that are no longer known. */
  retain(isKnown: (nodeId: string) => boolean): void {
    [...this.#outages.keys()]
      .filter((nodeId) => !isKnown(nodeId))
      .forEach((nodeId) => this.#outages.delete(nodeId));
  }
}
