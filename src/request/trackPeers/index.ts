/** Unresponsive nodes, which requests avoid until they respond again. */

/** Pause before the first probe of an unresponsive node; it doubles with each further failure. */
const BASE_PAUSE_MS = 300;
const MAX_PAUSE_MS = 2_000;

interface Silence {
  count: number;
  /** When the node is probed next. */
  untilMs: number;
}

/**
 * Tracks which nodes are unresponsive.
 *
 * A connection across a cut link or to a frozen VM neither fails nor responds, so a single request
 * without an acknowledgement marks a node as unresponsive.
 */
export default class PeerTracker {
  readonly #silences = new Map<string, Silence>();

  /** Records an acknowledgement or response of a node. */
  noteAlive(nodeId: string): void {
    this.#silences.delete(nodeId);
  }

  /**
   * Records that a node could not be reached or did not acknowledge in time.
   *
   * @param nodeId - id of the node
   * @param nowMs - present time in milliseconds
   * @returns true when the node was responsive before
   */
  noteSilent(nodeId: string, nowMs: number): boolean {
    const known = this.#silences.get(nodeId);
    if (known && nowMs < known.untilMs) return false;
    const count = (known?.count ?? 0) + 1;
    const pauseMs = Math.min(MAX_PAUSE_MS, BASE_PAUSE_MS * 2 ** (count - 1));
    this.#silences.set(nodeId, { count, untilMs: nowMs + pauseMs });
    return !known;
  }

  /** Returns whether a node is unresponsive. */
  isSilent(nodeId: string): boolean {
    return this.#silences.has(nodeId);
  }

  /** Returns the unresponsive nodes that are due for a probe. */
  listDue(nowMs: number): string[] {
    return [...this.#silences].filter(([, { untilMs }]) => untilMs <= nowMs).map(([id]) => id);
  }

  /** Removes the state of nodes that are no longer known. */
  retain(isKnown: (nodeId: string) => boolean): void {
    [...this.#silences.keys()]
      .filter((nodeId) => !isKnown(nodeId))
      .forEach((nodeId) => this.#silences.delete(nodeId));
  }
}
