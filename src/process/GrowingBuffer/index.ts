const MIN_CAPACITY_BYTES = 1_024;

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
  #bytes = Buffer.alloc(0);

  #sizeBytes = 0;

  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /**
   * Copies a part behind those before it.
   *
   * @param part - bytes, which may change afterwards
   */
  append(part: Uint8Array): void {
    const sizeBytes = this.#sizeBytes + part.length;
    if (sizeBytes > this.#bytes.length) this.#grow(sizeBytes);
    this.#bytes.set(part, this.#sizeBytes);
    this.#sizeBytes = sizeBytes;
  }

  /** Returns all parts as one, and keeps none of them. */
  take(): Buffer<ArrayBuffer> {
    const taken = this.#bytes.subarray(0, this.#sizeBytes);
    this.#bytes = Buffer.alloc(0);
    this.#sizeBytes = 0;
    return taken;
  }

  #grow(sizeBytes: number): void {
    const capacityBytes = Math.max(sizeBytes, 2 * this.#bytes.length, MIN_CAPACITY_BYTES);
    const larger = Buffer.allocUnsafe(capacityBytes);
    larger.set(this.#bytes.subarray(0, this.#sizeBytes));
    this.#bytes = larger;
  }
}
