/** Limits what bodies of callers in very short chunks cost. */
import type { IncomingMessage } from 'node:http';
import { createRateLimitedLogger } from '../../process/log/createRateLimitedLogger/index.js';
import { MAX_TURN_BYTES, TurnTaker, turnQueue } from '../shareTurns/index.js';
import JoinedBody from './_lib/JoinedBody.js';

/** Largest piece as long as there are no wasteful ones; Node.js reads up to this size. */
const MAX_PIECE_BYTES = 65_536;
const LINES_PER_SECOND = 5;

const logger = createRateLimitedLogger('connections', LINES_PER_SECOND);

const overdueListeners = new WeakMap<IncomingMessage, () => void>();

const sum = <Item>(items: Item[], read: (item: Item) => number): number =>
  items.reduce((total, item) => total + read(item), 0);

/**
 * Parts of the bodies in chunks that one connection receives. Counts and joins them, and has the
 * connection take turns with others once they cost far more than their bytes warrant.
 */
export class BodyParts {
  readonly #taker: TurnTaker;

  /** Bodies of which parts came since the last piece was recorded; mostly one. */
  readonly #bodies = new Set<JoinedBody>();

  #pieceBytes = MAX_TURN_BYTES;

  /** @param onTurn - called when a piece may be parsed that was refused before */
  constructor(onTurn: () => void) {
    this.#taker = new TurnTaker(onTurn);
  }

  /**
   * Returns the largest size of the next piece of a body in chunks; it grows with each call, and is small
   * again from the first wasteful piece on.
   */
  takePieceBytes(): number {
    const sizeBytes = turnQueue.isUnderPressure() ? MAX_TURN_BYTES : this.#pieceBytes;
    this.#pieceBytes = Math.min(2 * sizeBytes, MAX_PIECE_BYTES);
    return Math.min(sizeBytes, this.#taker.maxPieceBytes);
  }

  /** Returns whether the next piece may be parsed now; otherwise `onTurn` is called later. */
  takeTurn(): boolean {
    return this.#taker.take();
  }

  /**
   * Joins and counts the parts of a body from now on.
   *
   * @param request - request with a body in chunks, of which nothing was read
   */
  add(request: IncomingMessage): void {
    const body: JoinedBody = new JoinedBody(request, () => this.#bodies.add(body));
  }

  /**
   * Records a piece that was parsed, and passes on what was joined of it.
   *
   * @param piece - `spentMs`: time for which the process was busy with it; `hasMore`: whether further
   *   received bytes wait to be parsed
   * @returns whether the bodies in it are read
   */
  recordPiece(piece: { spentMs: number; hasMore: boolean }): boolean {
    if (this.#bodies.size === 0 && !this.#taker.isWasteful) return true;
    const bodies = [...this.#bodies];
    this.#bodies.clear();
    this.#taker.record({
      parts: sum(bodies, ({ parts }) => parts),
      sizeBytes: sum(bodies, ({ sizeBytes }) => sizeBytes),
      ...piece,
    });
    const isRead = bodies.map((body) => body.flush()).every(Boolean);
    bodies.forEach((body) => body.reset());
    if (this.#taker.isOverdue) bodies.forEach(({ request }) => this.#endOverdue(request));
    return isRead;
  }

  /** Waits for no turn any more. */
  close(): void {
    this.#taker.close();
  }

  #endOverdue(request: IncomingMessage): void {
    const listener = overdueListeners.get(request);
    overdueListeners.delete(request);
    if (!listener) return;
    const { remoteAddress } = request.socket;
    logger.info(
      performance.now(),
      () => ({ remoteAddress }),
      'request ended: its body is in very short chunks',
    );
    listener();
  }
}

/**
 * Registers the listener for a body that has been far more parts than its bytes warrant for too long.
 *
 * @param request - request whose body is not complete
 * @param listener - ends the request; called once
 */
export const onWastefulBody = (request: IncomingMessage, listener: () => void): void => {
  overdueListeners.set(request, listener);
};
