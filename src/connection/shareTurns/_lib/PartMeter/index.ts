/** Parts of one piece up to which it is never wasteful; a slow upload brings a few at a time. */
const MAX_FREE_PARTS = 12;
/** Mean length below which a part costs far more for its callback than for its bytes. */
const MIN_PART_BYTES = 256;
/** Mean length below which no useful body stays: a third of its bytes is the framing of its chunks. */
const MIN_SUSTAINED_PART_BYTES = 16;
/** Largest piece that a connection with wasteful pieces may have parsed in one turn. */
export const MAX_TURN_BYTES = 4_096;
/** Time without a wasteful piece after which the next one counts as the first. */
const RECOVERY_MS = 5_000;
/** How long a connection may stay wasteful; as long as a caller may take to send a head. */
const MAX_WASTEFUL_MS = 10_000;

/** Bytes of a connection that were parsed at once, and what they cost. */
export interface ParsedPiece {
  /** Callbacks of the parser with a part of a body. */
  parts: number;
  /** Sum of the lengths of the parts, without their framing. */
  sizeBytes: number;
  /** Time for which the process was busy with them. */
  spentMs: number;
  /** Whether further received bytes wait to be parsed. */
  hasMore: boolean;
}

/**
 * Decides whether a connection brings far more parts of bodies than its bytes warrant. It answers
 * bodies in chunks of one byte: a read of 64 KiB contains 11,000 of them.
 */
export default class PartMeter {
  #isWasteful = false;

  #lastWasteAtMs = -Infinity;

  /** Since when each piece was wasteful beyond use, and left further bytes to parse. */
  #sustainedSinceMs: number | undefined;

  /** Whether the last piece was wasteful, so that the next one needs a turn. */
  get isWasteful(): boolean {
    return this.#isWasteful;
  }

  /** Largest piece that may be parsed at once, in bytes; stays small after a wasteful piece. */
  get maxPieceBytes(): number {
    return this.#lastWasteAtMs === -Infinity ? Infinity : MAX_TURN_BYTES;
  }

  /**
   * Records a piece.
   *
   * @param piece - what was parsed at once
   * @param nowMs - present time, on a monotonic clock
   * @returns whether the piece was wasteful
   */
  record({ parts, sizeBytes, hasMore }: ParsedPiece, nowMs: number): boolean {
    this.#isWasteful = parts > MAX_FREE_PARTS && sizeBytes < parts * MIN_PART_BYTES;
    const hasRecovered = nowMs - this.#lastWasteAtMs > RECOVERY_MS;
    const isUseless = this.#isWasteful && sizeBytes < parts * MIN_SUSTAINED_PART_BYTES;
    if (!isUseless || !hasMore) this.#sustainedSinceMs = undefined;
    else if (this.#sustainedSinceMs === undefined || hasRecovered) this.#sustainedSinceMs = nowMs;
    if (this.#isWasteful) this.#lastWasteAtMs = nowMs;
    return this.#isWasteful;
  }

  /**
   * Returns whether the connection has been wasteful beyond use for too long. A slow stream is not, as
   * it leaves no bytes to parse.
   *
   * @param nowMs - present time, on the same clock
   */
  isOverdue(nowMs: number): boolean {
    return nowMs - (this.#sustainedSinceMs ?? nowMs) > MAX_WASTEFUL_MS;
  }
}
