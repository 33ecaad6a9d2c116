/** Limits what bodies of callers in very short chunks cost. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { createRateLimitedLogger } from '../../process/log/createRateLimitedLogger/index.js';
import { MAX_TURN_BYTES, TurnTaker, turnQueue } from '../shareTurns/index.js';
import JoinedBody from './_lib/JoinedBody.js';

/** Largest piece as long as there are no wasteful ones; Node.js reads up to this size. */
const MAX_PIECE_BYTES = 65_536;
/** Parts after which the cost of a body is recorded while Node.js parses the connection by itself. */
const MAX_UNRECORDED_PARTS = 64;
const LINES_PER_SECOND = 5;

const logger = createRateLimitedLogger('connections', LINES_PER_SECOND);

/** Property that Node.js sets while it parses no requests behind responses that are not read. */
const PAUSED = '_paused';

interface PausableSocket extends Socket {
  [PAUSED]?: boolean;
}

const sum = <Item>(items: Item[], read: (item: Item) => number): number =>
  items.reduce((total, item) => total + read(item), 0);

const connections = new Map<Socket, CallerConnection>();

const overdueListeners = new WeakMap<IncomingMessage, () => void>();

/**
 * A connection whose bytes reach the parser in pieces.
 *
 * Node.js hands up to 2 MiB of a connection to its parser in one turn of the event loop. Connections are
 * left to it until they bring a body in chunks, or others bring wasteful ones.
 */
class CallerConnection {
  readonly #socket: PausableSocket;

  readonly #taker = new TurnTaker(() => this.#continue());

  /** Bodies in chunks of which parts came since the last piece was recorded; mostly one. */
  readonly #bodies = new Set<JoinedBody>();

  #parse: ((bytes: Buffer) => void) | undefined;

  #resume: () => Socket;

  #pause: () => Socket;

  /** Whether no byte is parsed until the next turn. */
  #isHeld = false;

  /** Whether Node.js would read the connection if it were not held. */
  #isWanted = true;

  /** Whether the connection is split once it is resumed. */
  #isSplitDue = false;

  /** Largest next piece; grows as long as there are no wasteful ones. */
  #pieceBytes = MAX_TURN_BYTES;

  /** Whether a piece is parsed, at whose end its parts are counted. */
  #isParsing = false;

  constructor(socket: Socket) {
    this.#socket = socket;
    this.#resume = socket.resume.bind(socket);
    this.#pause = socket.pause.bind(socket);
    socket.once('close', () => {
      connections.delete(socket);
      this.#taker.close();
    });
    connections.set(socket, this);
  }

  /** Parses the connection in pieces from now on. */
  split(): void {
    const socket = this.#socket;
    if (this.#parse || socket.destroyed) return;
    if (socket.isPaused()) {
      this.#splitOnceResumed();
      return;
    }
    const [parse] = socket.listeners('data');
    if (!parse) return;
    this.#parse = parse as (bytes: Buffer) => void;
    this.#resume = socket.resume.bind(socket);
    this.#pause = socket.pause.bind(socket);
    Object.assign(socket, {
      resume: () => {
        this.#isWanted = true;
        return this.#isHeld ? socket : this.#resume();
      },
      pause: () => {
        this.#isWanted = false;
        return this.#pause();
      },
    });
    socket.off('data', this.#parse);
    // Node.js stops its parser from reading the connection as this listener is added.
    socket.on('data', (bytes: Buffer) => this.#receive(bytes));
  }

  /** Node.js restarts the reading of a paused connection only as long as its parser reads it. */
  #splitOnceResumed(): void {
    if (this.#isSplitDue) return;
    this.#isSplitDue = true;
    this.#socket.once('resume', () => {
      this.#isSplitDue = false;
      this.split();
    });
  }

  /** Joins and counts the parts of the body of a request. */
  addBody(request: IncomingMessage): void {
    this.split();
    const body = new JoinedBody(request, () => {
      if (this.#bodies.size === 0 && !this.#isParsing) setImmediate(() => this.#settle());
      this.#bodies.add(body);
      if (!this.#isParsing && body.parts >= MAX_UNRECORDED_PARTS) this.#settle();
    });
  }

  #receive(bytes: Buffer): void {
    this.#settle();
    // Whatever was paused before, the connection was resumed, possibly not through the methods above.
    this.#isWanted = true;
    if (this.#isHeld || this.#socket[PAUSED]) this.#putBack(bytes);
    else this.#parsePieces(bytes);
  }

  #parsePieces(bytes: Buffer): void {
    let rest = bytes;
    while (rest.length > 0 && this.#isWanted && !this.#socket.destroyed) {
      if (!this.#taker.take()) {
        this.#isHeld = true;
        break;
      }
      const piece = rest.subarray(0, this.#takePieceBytes());
      rest = rest.subarray(piece.length);
      this.#parsePiece(piece, rest.length > 0);
    }
    if (rest.length > 0 && !this.#socket.destroyed) this.#putBack(rest);
  }

  /** Returns the largest size of the next piece; it is small again from the first wasteful piece on. */
  #takePieceBytes(): number {
    const sizeBytes = turnQueue.isUnderPressure() ? MAX_TURN_BYTES : this.#pieceBytes;
    this.#pieceBytes = Math.min(2 * sizeBytes, MAX_PIECE_BYTES);
    return Math.min(sizeBytes, this.#taker.maxPieceBytes);
  }

  #parsePiece(piece: Buffer, hasRest: boolean): void {
    const startedAtMs = performance.now();
    this.#isParsing = true;
    this.#parse?.(piece);
    this.#isParsing = false;
    const hasMore = hasRest || this.#socket.readableLength > 0;
    this.#recordPiece(performance.now() - startedAtMs, hasMore);
  }

  /** Passes on and records what Node.js parsed by itself since the last call. */
  #settle(): void {
    if (this.#bodies.size === 0) return;
    const spentMs = sum([...this.#bodies], ({ firstAtMs, lastAtMs }) => lastAtMs - firstAtMs);
    this.#recordPiece(spentMs, false);
  }

  #recordPiece(spentMs: number, hasMore: boolean): void {
    const bodies = [...this.#bodies];
    this.#bodies.clear();
    this.#taker.record({
      parts: sum(bodies, ({ parts }) => parts),
      sizeBytes: sum(bodies, ({ sizeBytes }) => sizeBytes),
      ...{ spentMs, hasMore },
    });
    const isRead = bodies.map((body) => body.flush()).every(Boolean);
    bodies.forEach((body) => body.reset());
    if (!isRead) this.#socket.pause();
    if (this.#taker.isOverdue) this.#end(bodies);
  }

  #end(bodies: JoinedBody[]): void {
    const listeners = bodies.flatMap(({ request }) => {
      const listener = overdueListeners.get(request);
      overdueListeners.delete(request);
      return listener ? [listener] : [];
    });
    if (listeners.length === 0) return;
    const fields = () => ({ remoteAddress: this.#socket.remoteAddress });
    logger.info(performance.now(), fields, 'request ended: its body is in very short chunks');
    listeners.forEach((listener) => listener());
  }

  #putBack(bytes: Buffer): void {
    this.#pause();
    this.#socket.unshift(bytes);
  }

  #continue(): void {
    this.#isHeld = false;
    if (this.#isWanted) this.#resume();
  }
}

turnQueue.onPressure(() => connections.forEach((connection) => connection.split()));

/**
 * Limits what a connection of a caller may cost through bodies in very short chunks.
 *
 * @param socket - connection that the HTTP server has just accepted
 */
export const limitCallerParts = (socket: Socket): void => {
  const connection = new CallerConnection(socket);
  if (turnQueue.isUnderPressure()) connection.split();
};

/**
 * Joins the short parts of a request body; called for each request before its body is used.
 *
 * @param request - request on a connection given to `limitCallerParts`
 */
export const joinParts = (request: IncomingMessage): void => {
  if (request.headers['transfer-encoding'] === undefined) return;
  connections.get(request.socket)?.addBody(request);
};

/**
 * Registers the listener for a body that has been far more parts than its bytes warrant for too long.
 *
 * @param request - request whose body is not complete
 * @param listener - ends the request; called once
 */
export const onWastefulBody = (request: IncomingMessage, listener: () => void): void => {
  overdueListeners.set(request, listener);
};
