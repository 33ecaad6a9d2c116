/** Received bytes of a connection, of which the parser gets no more than it can use. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { BodyParts } from '../limitBodyParts/index.js';
import ChunksEnd from './_lib/BodyEnd/ChunksEnd.js';
import LengthEnd from './_lib/BodyEnd/LengthEnd.js';
import HeldInput from './_lib/HeldInput/index.js';
import type BodyEnd from './_lib/BodyEnd/index.js';

/** End of the head of a request. */
const HEAD_END = '\r\n\r\n';
/** Held bytes of a connection from which on it is not read; one read of Node.js. */
const MAX_HELD_BYTES = 65_536;
/** Held bytes of all connections from which on none that holds some is read. */
const MAX_TOTAL_HELD_BYTES = 32 * 1_048_576;

/** Bytes of a head that may be followed by the rest of its end. */
const TAIL_BYTES = HEAD_END.length - 1;

/**
 * Returns the size of the rest of a head; all bytes if it does not end in them.
 *
 * @param tail - the last bytes before them
 */
const findHeadEnd = (bytes: Buffer, tail: Buffer): number => {
  const start = Buffer.concat([tail, bytes.subarray(0, TAIL_BYTES)]);
  const cutIndex = start.indexOf(HEAD_END);
  if (cutIndex >= 0) return cutIndex + HEAD_END.length - tail.length;
  const index = bytes.indexOf(HEAD_END);
  return index < 0 ? bytes.length : index + HEAD_END.length;
};

let totalHeldBytes = 0;

export interface InputHolderOptions {
  /** Returns whether the next requests may be parsed. */
  mayParse: () => boolean;
  /** Returns the length of the body that is received; 0 outside of a body, Infinity for one in chunks. */
  countBodyBytes: () => number;
  /** Called after bytes were parsed that had been held. */
  onParsed: () => void;
}

/**
 * Passes the received bytes of a connection to the parser of Node.js by request, and holds the others.
 *
 * The parser creates all requests of the bytes that it gets, up to 64 KiB at once. Held bytes are
 * small compared with the requests in them. The connection is read on meanwhile, within bounds, so
 * that the departure of its caller is noticed.
 */
export class InputHolder {
  readonly #socket: Socket;

  readonly #options: InputHolderOptions;

  readonly #parse: (bytes: Buffer) => void;

  readonly #pauseSocket: () => Socket;

  readonly #resumeSocket: () => Socket;

  readonly #parts = new BodyParts(() => this.schedule());

  /** End of the body that is parsed; undefined outside of a body. */
  #bodyEnd: BodyEnd | undefined;

  /** The last bytes of a head that were parsed. */
  #headTail: Buffer = Buffer.alloc(0);

  readonly #held = new HeldInput();

  #heldBytes = 0;

  /** When the bytes arrived that were parsed last. */
  #parsedReceivedAtMs = performance.now();

  /** Since when the connection was not read although Node.js was ready for it; undefined if it was. */
  #unreadSinceMs: number | undefined;

  /** Whether Node.js has paused the connection, for a body or a response that is not taken. */
  #isPausedByNode = false;

  /** Whether the connection is not read because too much is held. */
  #isFull = false;

  #isParsing = false;

  #isScheduled = false;

  /**
   * @param socket - connection with the listeners of an HTTP server
   * @param options - when to parse
   */
  constructor(socket: Socket, options: InputHolderOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#pauseSocket = socket.pause.bind(socket);
    this.#resumeSocket = socket.resume.bind(socket);
    const parsers = socket.listeners('data');
    this.#parse = (bytes) => parsers.forEach((parse) => parse.call(socket, bytes));
    // Node.js passes received bytes to its parser itself until there is a listener for them.
    socket.on('data', (bytes: Buffer) => this.#receive(bytes));
    parsers.forEach((parse) => socket.off('data', parse as () => void));
    Object.assign(socket, { pause: () => this.#pause(), resume: () => this.#resume() });
    socket.once('close', () => this.#drop());
  }

  /** Joins the parts of a body in chunks, of which nothing was read, and limits what they cost. */
  joinParts(request: IncomingMessage): void {
    this.#parts.add(request);
  }

  /** Whether bytes are held that Node.js is ready to parse. */
  get isBehind(): boolean {
    return this.#heldBytes > 0 && !this.#isPausedByNode;
  }

  /**
   * Returns how long ago the bytes arrived that were parsed last, in milliseconds. Those that waited in
   * the system, as too much was held, count from when the connection was no longer read.
   *
   * @param nowMs - present time on the clock of `performance.now()`
   */
  computeHeldMs(nowMs: number): number {
    return Math.max(0, nowMs - this.#parsedReceivedAtMs);
  }

  /** Parses held bytes in a later turn of the event loop, so that other connections are read. */
  schedule(): void {
    if (this.#isScheduled || this.#heldBytes === 0) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#parseHeld();
    });
  }

  #pause(): Socket {
    this.#isPausedByNode = true;
    return this.#pauseSocket();
  }

  #resume(): Socket {
    this.#isPausedByNode = false;
    this.schedule();
    return this.#isFull ? this.#socket : this.#resumeSocket();
  }

  #receive(bytes: Buffer): void {
    const receivedAtMs = this.#unreadSinceMs ?? performance.now();
    this.#unreadSinceMs = undefined;
    this.#held.append(bytes, receivedAtMs);
    this.#count(bytes.length);
    if (!this.#isScheduled) this.#parseHeld();
    this.#checkBounds();
  }

  #parseHeld(): void {
    if (this.#isParsing) return;
    this.#isParsing = true;
    while (this.#canParse() && this.#parts.takeTurn()) this.#parsePiece(this.#take());
    this.#isParsing = false;
    if (this.#socket.destroyed) this.#drop();
    this.#checkBounds();
    this.#options.onParsed();
  }

  #parsePiece(bytes: Buffer): void {
    const startedAtMs = performance.now();
    this.#parse(bytes);
    this.#count(-bytes.length);
    const hasMore = this.#heldBytes > 0 || this.#socket.readableLength > 0;
    const spentMs = performance.now() - startedAtMs;
    if (!this.#parts.recordPiece({ spentMs, hasMore })) this.#pause();
  }

  #canParse(): boolean {
    const isOpen = !this.#socket.destroyed && !this.#isPausedByNode;
    return isOpen && this.#held.first !== undefined && this.#options.mayParse();
  }

  /** Takes held bytes of no more than one request; of a body, as many as belong to it. */
  #take(): Buffer {
    const { first } = this.#held;
    if (!first) return Buffer.alloc(0);
    const { bytes, receivedAtMs } = first;
    this.#parsedReceivedAtMs = receivedAtMs;
    const sizeBytes = this.#passBody(bytes) || this.#passHead(bytes);
    this.#held.drop(sizeBytes);
    return bytes.subarray(0, sizeBytes);
  }

  /** Returns how many of the bytes belong to a body and may be parsed at once; 0 outside of a body. */
  #passBody(bytes: Buffer): number {
    const lengthBytes = this.#options.countBodyBytes();
    if (lengthBytes === 0) {
      this.#bodyEnd = undefined;
      return 0;
    }
    this.#headTail = Buffer.alloc(0);
    const isChunked = lengthBytes === Infinity;
    this.#bodyEnd ??= isChunked ? new ChunksEnd() : new LengthEnd(lengthBytes);
    const maxBytes = isChunked ? this.#parts.takePieceBytes() : bytes.length;
    return this.#bodyEnd.pass(bytes.subarray(0, maxBytes));
  }

  /** Returns how many of the bytes belong to a head. */
  #passHead(bytes: Buffer): number {
    const sizeBytes = findHeadEnd(bytes, this.#headTail);
    const parsed = bytes.subarray(Math.max(0, sizeBytes - TAIL_BYTES), sizeBytes);
    this.#headTail = Buffer.concat([this.#headTail, parsed]).subarray(-TAIL_BYTES);
    return sizeBytes;
  }

  #checkBounds(): void {
    const isFull =
      this.#heldBytes >= MAX_HELD_BYTES ||
      (this.#heldBytes > 0 && totalHeldBytes >= MAX_TOTAL_HELD_BYTES);
    if (isFull === this.#isFull) return;
    this.#isFull = isFull;
    if (isFull && !this.#isPausedByNode) this.#unreadSinceMs = performance.now();
    if (isFull) this.#pauseSocket();
    else if (!this.#isPausedByNode) this.#resumeSocket();
  }

  #count(changeBytes: number): void {
    this.#heldBytes += changeBytes;
    totalHeldBytes += changeBytes;
  }

  #drop(): void {
    this.#parts.close();
    this.#held.clear();
    this.#count(-this.#heldBytes);
  }
}
