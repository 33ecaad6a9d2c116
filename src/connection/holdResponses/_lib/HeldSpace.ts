import type { ServerResponse } from 'node:http';
import type ResponseHolder from '../index.js';

/** Counted for each part besides its bytes, more than the room that joining it takes. */
const BUFFER_OVERHEAD_BYTES = 512;

/** Space for one held response. */
export default class HeldSpace {
  readonly #holder: ResponseHolder;

  #sizeBytes = 0;

  #isReleased = false;

  constructor(holder: ResponseHolder) {
    this.#holder = holder;
  }

  /**
   * Takes space for a part of the response.
   *
   * @param sizeBytes - length of the part
   * @returns false if the part is beyond a bound, so that the response must be sent on
   */
  add(sizeBytes: number): boolean {
    const takenBytes = sizeBytes + BUFFER_OVERHEAD_BYTES;
    if (!this.#holder.take(takenBytes, this.#sizeBytes)) return false;
    this.#sizeBytes += takenBytes;
    return true;
  }

  /** Returns the space. */
  release(): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
    this.#holder.giveBack(this.#sizeBytes);
  }

  /** Returns the space once the system has taken what was written to a response. */
  releaseAfter(response: ServerResponse): void {
    if (response.destroyed || (!response.writableEnded && !response.writableNeedDrain)) {
      this.release();
      return;
    }
    response.once('drain', () => this.release());
    response.once('close', () => this.release());
  }
}
