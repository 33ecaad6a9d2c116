import { createHash } from 'node:crypto';
import { Transform } from 'node:stream';

import GrowingBuffer from '../../process/GrowingBuffer/index.js';
import { IDENTIFIED_BODY_BYTES } from '../fingerprintRequest/index.js';

/** Body of a request that is passed on while it arrives; its first bytes are hashed on the way. */
export default class StreamedBody {
  /** Receives the body from the caller; read by the upstream. */
  readonly stream: Transform;

  /** Resolves once the bytes that identify the body have arrived. */
  readonly identified: Promise<void>;

  readonly #hash = createHash('sha256');

  #hashedBytes = 0;

  /** Bytes of a held body that has not been identified. */
  readonly #held: GrowingBuffer | undefined;

  #digest: Buffer | undefined;

  #setIdentified: () => void = () => undefined;

  /**
   * @param options - whether the bytes that identify the body are accepted before anything reads them
   */
  constructor({ isHeld }: { isHeld: boolean }) {
    this.identified = new Promise((resolve) => {
      this.#setIdentified = resolve;
    });
    this.#held = isHeld ? new GrowingBuffer() : undefined;
    this.stream = new Transform({
      ...(isHeld && { readableHighWaterMark: IDENTIFIED_BODY_BYTES }),
      transform: (chunk: Buffer, _, callback) => callback(null, this.#pass(chunk)),
      flush: (callback) => {
        if (!this.#digest) this.#identify();
        callback(null, this.#takeHeld());
      },
    });
  }

  /** Digest of the bytes that identify the body; undefined until these have arrived. */
  get digest(): Buffer | undefined {
    return this.#digest;
  }

  /**
   * Returns what is passed on as a chunk arrives. A held body is joined until it is identified: a stream
   * keeps an object for each chunk, which can be as short as a byte.
   */
  #pass(chunk: Buffer): Buffer | undefined {
    if (this.#digest) return chunk;
    this.#add(chunk);
    if (!this.#held) return chunk;
    this.#held.append(chunk);
    return this.#digest ? this.#takeHeld() : undefined;
  }

  #takeHeld(): Buffer | undefined {
    const held = this.#held?.take();
    return held && held.length > 0 ? held : undefined;
  }

  #add(chunk: Buffer): void {
    const part = chunk.subarray(0, IDENTIFIED_BODY_BYTES - this.#hashedBytes);
    this.#hash.update(part);
    this.#hashedBytes += part.length;
    if (this.#hashedBytes === IDENTIFIED_BODY_BYTES) this.#identify();
  }

  #identify(): void {
    this.#digest = this.#hash.digest();
    this.#setIdentified();
  }
}
