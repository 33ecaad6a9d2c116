import BodyEnd from './index.js';

const HEX = 16;
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/** What the bytes of a body in chunks are in the middle of. */
enum Part {
  Size = 'SIZE',
  /** Rest of the line of a size. */
  Extension = 'EXTENSION',
  Data = 'DATA',
  /** Line end after the data of a chunk. */
  DataEnd = 'DATA_END',
  Trailers = 'TRAILERS',
  Ended = 'ENDED',
}

/**
 * End of a body in chunks. The parser alone decides what is valid: a size that can't be read counts as 0,
 * and bytes that are cut elsewhere than at the end are parsed as well.
 */
export default class ChunksEnd extends BodyEnd {
  #part = Part.Size;

  #sizeBytes = 0;

  #isLineEmpty = true;

  pass(bytes: Buffer): number {
    let offset = 0;
    while (offset < bytes.length && this.#part !== Part.Ended) {
      if (this.#part === Part.Data) offset += this.#skip(bytes.length - offset);
      else {
        this.#read(bytes[offset] ?? 0);
        offset += 1;
      }
    }
    return offset;
  }

  /** Skips data of a chunk; returns how many bytes. */
  #skip(availableBytes: number): number {
    const skippedBytes = Math.min(this.#sizeBytes, availableBytes);
    this.#sizeBytes -= skippedBytes;
    if (this.#sizeBytes === 0) this.#part = Part.DataEnd;
    return skippedBytes;
  }

  #read(byte: number): void {
    if (byte === LINE_FEED) {
      this.#endLine();
      return;
    }
    if (byte !== CARRIAGE_RETURN) this.#isLineEmpty = false;
    if (this.#part !== Part.Size) return;
    const digit = Number.parseInt(String.fromCharCode(byte), HEX);
    if (Number.isNaN(digit)) this.#part = Part.Extension;
    else this.#sizeBytes = this.#sizeBytes * HEX + digit;
  }

  #endLine(): void {
    if (this.#part === Part.DataEnd) this.#part = Part.Size;
    else if (this.#part === Part.Trailers) this.#part = this.#isLineEmpty ? Part.Ended : this.#part;
    else this.#part = this.#sizeBytes === 0 ? Part.Trailers : Part.Data;
    this.#isLineEmpty = true;
  }
}
