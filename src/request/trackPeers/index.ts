/** Nodes that did not answer lately, so that requests avoid them until they do. */

/** Pause after the first silence; it doubles with each further one. */
const BASE_PAUSE_MS = 300;
const MAX_PAUSE_MS = 2_000;

interface Silence {
  count: number;
  /** When the node is asked next. */
  untilMs: number;
}

/**
 * Remembers which nodes are silent. A connection across a cut link or to a frozen VM neither fails
 * nor answers, so one request without an acknowledgement is enough to avoid the node for a while.
 */
export default class PeerTracker {
  readonly #silences = new Map<string, Silence>();

  /** Notes that a node acknowledged or answered something. */
  noteAlive(nodeId: string): void {
    this.#silences.delete(nodeId);
  }

  /**
   * Notes that a node could not be reached or did not acknowledge in time.
   *
   * @param nodeId - the node
   * @param nowMs - present time in milliseconds
   * @returns true when the node was not known to be silent before
   */
  noteSilent(nodeId: string, nowMs: number): boolean {
    const known = this.#silences.get(nodeId);
    if (known && nowMs < known.untilMs) return false;
    const count = (known?.count ?? 0) + 1;
    const pauseMs = Math.min(MAX_PAUSE_MS, BASE_PAUSE_MS * 2 ** (count - 1));
    this.#silences.set(nodeId, { count, untilMs: nowMs + pauseMs });
    return !known;
  }

  /** Tells whether a node is avoided now. */
  isSilent(nodeId: string): boolean {
    return this.#silences.has(nodeId);
  }

  /** Returns the silent nodes that are to be asked now whether they answer again. */
  listDue(nowMs: number): string[] {
    return [...this.#silences].filter(([, { untilMs }]) => untilMs <= nowMs).map(([id]) => id);
  }

  /** Drops the state of nodes that are no longer known. */
  retain(isKnown: (nodeId: string) => boolean): void {
    [...this.#silences.keys()]
      .filter((nodeId) => !isKnown(nodeId))
      .forEach((nodeId) => this.#silences.delete(nodeId));
  }
}
