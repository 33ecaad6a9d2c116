import GrowingBuffer from '../../../../process/GrowingBuffer/index.js';

/** Longer segments are kept as they are; shorter ones are joined. */
const MIN_KEPT_BYTES = 4_096;
/** Segments are joined only if they arrive within this time; far below the deadlines of requests. */
const MAX_JOIN_MS = 50;

/** Received bytes that wait to be parsed. */
export interface HeldPiece {
  bytes: Buffer;
  /** When the first of them arrived, on the clock of `performance.now()`. */
  receivedAtMs: number;
}

/** Received bytes of one connection, in order. A segment can be as short as a byte, and takes far more on its own. */
export default class HeldInput {
  #pieces: HeldPiece[] = [];

  /** Short segments behind the pieces. */
  readonly #joined = new GrowingBuffer();

  #joinedSinceMs = 0;

  /** The first piece; undefined if nothing is held. */
  get first(): HeldPiece | undefined {
    if (this.#pieces.length === 0) this.#closeJoined();
    return this.#pieces[0];
  }

  /**
   * Adds a segment.
   *
   * @param bytes - segment
   * @param receivedAtMs - when it arrived
   */
  append(bytes: Buffer, receivedAtMs: number): void {
    const isJoined = this.first !== undefined && bytes.length < MIN_KEPT_BYTES;
    const isRecent = receivedAtMs - this.#joinedSinceMs < MAX_JOIN_MS;
    if (!isJoined || !isRecent || this.#joined.sizeBytes >= MIN_KEPT_BYTES) this.#closeJoined();
    if (!isJoined) {
      this.#pieces.push({ bytes, receivedAtMs });
      return;
    }
    if (this.#joined.sizeBytes === 0) this.#joinedSinceMs = receivedAtMs;
    this.#joined.append(bytes);
  }

  /** Removes bytes from the start of the first piece. */
  drop(sizeBytes: number): void {
    const { first } = this;
    if (!first) return;
    if (first.bytes.length <= sizeBytes) this.#pieces.shift();
    else this.#pieces[0] = { ...first, bytes: first.bytes.subarray(sizeBytes) };
  }

  clear(): void {
    this.#pieces = [];
    this.#joined.take();
  }

  #closeJoined(): void {
    if (this.#joined.sizeBytes === 0) return;
    this.#pieces.push({ bytes: this.#joined.take(), receivedAtMs: this.#joinedSinceMs });
  }
}
