import { createHash } from 'node:crypto';
import { Transform } from 'node:stream';

import { IDENTIFIED_BODY_BYTES } from '../fingerprintRequest/index.js';

/** Body of a request that is passed on while it arrives; its first bytes are hashed on the way. */
export default class StreamedBody {
  /** Receives the body from the caller; read by the upstream. */
  readonly stream: Transform;

  /** Resolves once the bytes that identify the body have arrived. */
  readonly identified: Promise<void>;

  readonly #hash = createHash('sha256');

  #hashedBytes = 0;

  #digest: Buffer | undefined;

  #setIdentified: () => void = () => undefined;

  /**
   * @param options - whether the bytes that identify the body are accepted before anything reads them
   */
  constructor({ isHeld }: { isHeld: boolean }) {
    this.identified = new Promise((resolve) => {
      this.#setIdentified = resolve;
    });
    this.stream = new Transform({
      ...(isHeld && { readableHighWaterMark: IDENTIFIED_BODY_BYTES }),
      transform: (chunk: Buffer, _, callback) => {
        if (!this.#digest) this.#add(chunk);
        callback(null, chunk);
      },
      flush: (callback) => {
        if (!this.#digest) this.#identify();
        callback();
      },
    });
  }

  /** Digest of the bytes that identify the body; undefined until these have arrived. */
  get digest(): Buffer | undefined {
    return this.#digest;
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
