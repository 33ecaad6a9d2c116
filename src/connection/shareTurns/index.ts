/** Turns of connections that bring far more parts of bodies than their bytes warrant. */
import PartMeter from './_lib/PartMeter/index.js';
import TurnQueue from './_lib/TurnQueue.js';

import type { ParsedPiece } from './_lib/PartMeter/index.js';

export { MAX_TURN_BYTES } from './_lib/PartMeter/index.js';
export type { ParsedPiece };

/** Turns of this process; one processor serves all its connections. */
export const turnQueue = new TurnQueue();

/**
 * Turns of one connection.
 *
 * @example
 * const taker = new TurnTaker(() => socket.resume());
 * if (taker.take()) taker.record(parse(bytes));
 */
export class TurnTaker {
  readonly #meter = new PartMeter();

  readonly #onTurn: () => void;

  #hasTurn = false;

  /** @param onTurn - called when a turn is granted that was refused before */
  constructor(onTurn: () => void) {
    this.#onTurn = onTurn;
  }

  /** Largest piece that may be parsed at once, in bytes. */
  get maxPieceBytes(): number {
    return this.#meter.maxPieceBytes;
  }

  /** Whether the next piece needs a turn. */
  get isWasteful(): boolean {
    return this.#meter.isWasteful;
  }

  /** Whether the connection has been wasteful for too long. */
  get isOverdue(): boolean {
    return this.#meter.isOverdue(performance.now());
  }

  /** Returns whether a piece may be parsed now; otherwise `onTurn` is called later. */
  take(): boolean {
    if (!this.#meter.isWasteful || this.#hasTurn) {
      this.#hasTurn = false;
      return true;
    }
    turnQueue.add(this);
    return false;
  }

  /** Records a piece that was parsed. */
  record(piece: ParsedPiece): void {
    const nowMs = performance.now();
    if (this.#meter.record(piece, nowMs)) turnQueue.record(piece.spentMs, nowMs);
  }

  /** Called when the turn of the connection has come. */
  grant(): void {
    this.#hasTurn = true;
    this.#onTurn();
  }

  /** Waits for no turn any more. */
  close(): void {
    turnQueue.remove(this);
  }
}
