import BodyEnd from './index.js';

/** End of a body with a length. */
export default class LengthEnd extends BodyEnd {
  #leftBytes: number;

  /** @param lengthBytes - length of the body */
  constructor(lengthBytes: number) {
    super();
    this.#leftBytes = lengthBytes;
  }

  pass(bytes: Buffer): number {
    const passedBytes = Math.min(this.#leftBytes, bytes.length);
    this.#leftBytes -= passedBytes;
    return passedBytes;
  }
}
