const MIN_CAPACITY_BYTES = 1_024;
/** Shared, since each request creates several buffers that mostly stay empty. */
const EMPTY = Buffer.alloc(0);

/**
 * Joins parts as they arrive. Parts can be as short as a byte, and one that is kept on its own takes a
 * hundred times as much memory.
 *
 * @example
 * const body = new GrowingBuffer();
 * request.on('data', (part) => body.append(part));
 * request.on('end', () => handle(body.take()));
 */
export default class GrowingBuffer {
  #bytes = EMPTY;

  /** Part of `#bytes` that is in use. */
  #start = 0;

  #end = 0;

  get sizeBytes(): number {
    return this.#end - this.#start;
  }

  /**
   * Copies a part behind those before it.
   *
   * @param part - bytes, which may change afterwards
   */
  append(part: Uint8Array): void {
    if (this.#end + part.length > this.#bytes.length) this.#grow(this.sizeBytes + part.length);
    this.#bytes.set(part, this.#end);
    this.#end += part.length;
  }

  /**
   * Takes bytes from the start.
   *
   * @param maxBytes - how many at most; all by default
   * @returns the bytes as one, which are kept no longer
   */
  take(maxBytes = Infinity): Buffer<ArrayBuffer> {
    const takenBytes = Math.min(maxBytes, this.sizeBytes);
    const taken = this.#bytes.subarray(this.#start, this.#start + takenBytes);
    this.#start += takenBytes;
    if (this.sizeBytes === 0) {
      this.#bytes = EMPTY;
      this.#start = 0;
      this.#end = 0;
    }
    return taken;
  }

  #grow(sizeBytes: number): void {
    const capacityBytes = Math.max(sizeBytes, 2 * this.sizeBytes, MIN_CAPACITY_BYTES);
    const larger = Buffer.allocUnsafe(capacityBytes);
    larger.set(this.#bytes.subarray(this.#start, this.#end));
    this.#bytes = larger;
    this.#end -= this.#start;
    this.#start = 0;
  }
}
