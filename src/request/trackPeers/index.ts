/** Unresponsive nodes, which requests avoid until they respond again. */

/** Pause before the first probe of an unresponsive node; it doubles with each further failure. */
const BASE_PAUSE_MS = 300;
const MAX_PAUSE_MS = 2_000;

interface Outage {
  count: number;
  /** When the node is probed next. */
  nextProbeAtMs: number;
}

/**
 * Tracks which nodes are unresponsive.
 *
 * A connection across a cut link or to a frozen VM neither fails nor responds, so a single request
 * without an acknowledgement marks a node as unresponsive.
 */
export default class PeerTracker {
  readonly #outages = new Map<string, Outage>();

  /** Records an acknowledgement or response of a node. */
  recordResponse(nodeId: string): void {
    this.#outages.delete(nodeId);
  }

  /**
   * Records that a node could not be reached or did not acknowledge in time.
   *
   * @param nodeId - id of the node
   * @param nowMs - present time in milliseconds
   * @returns true when the node was responsive before
   */
  recordFailure(nodeId: string, nowMs: number): boolean {
    const known = this.#outages.get(nodeId);
    if (known && nowMs < known.nextProbeAtMs) return false;
    const count = (known?.count ?? 0) + 1;
    const pauseMs = Math.min(MAX_PAUSE_MS, BASE_PAUSE_MS * 2 ** (count - 1));
    this.#outages.set(nodeId, { count, nextProbeAtMs: nowMs + pauseMs });
    return !known;
  }

  /** Returns whether a node is unresponsive. */
  isUnresponsive(nodeId: string): boolean {
    return this.#outages.has(nodeId);
  }

  /** Returns the unresponsive nodes that are due for a probe. */
  listDueForProbe(nowMs: number): string[] {
    return [...this.#outages]
      .filter(([, { nextProbeAtMs }]) => nextProbeAtMs <= nowMs)
      .map(([id]) => id);
  }

  /** Removes the state of nodes that are no longer known. */
  retain(isKnown: (nodeId: string) => boolean): void {
    [...this.#outages.keys()]
      .filter((nodeId) => !isKnown(nodeId))
      .forEach((nodeId) => this.#outages.delete(nodeId));
  }
}
