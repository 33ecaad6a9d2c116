const START = 'HTTP/1.1 100';
const CONTINUE_START = /^HTTP\/1\.[01] 100[ \r\n]$/;
const INTERIM_START = /^HTTP\/1\.[01] 1/;
/** Position of the first digit of the status. */
const STATUS_OFFSET = 9;
const UPPER_H = 72;
const ONE = 49;
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/** What the bytes of an upstream are in the middle of. */
enum Part {
  /** The start of a head, up to the byte after its status. */
  Start = 'START',
  /** A `100` head, which is dropped. */
  Continue = 'CONTINUE',
  /** Another informational head. */
  Interim = 'INTERIM',
  /** A final head, what follows it, or bytes that are no head. */
  Rest = 'REST',
}

/** Returns which part a start belongs to; undefined if more bytes are needed. */
const classifyStart = (start: string): Part | undefined => {
  if (START.startsWith(start.replace('HTTP/1.0', 'HTTP/1.1'))) return undefined;
  if (CONTINUE_START.test(start)) return Part.Continue;
  return start.length <= START.length && INTERIM_START.test(start) ? Part.Interim : Part.Rest;
};

/**
 * Drops `100 Continue` responses before the final response to a request. A client must accept them
 * even if it did not ask for them (RFC 9110, section 15.2), but undici refuses them.
 *
 * Heads end with an empty line, with or without carriage returns. All other bytes are left as they are,
 * for the parser to accept or refuse.
 *
 * @example
 * const filter = new ContinueFilter();
 * filter.filter(Buffer.from('HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n')); // the second head
 */
export default class ContinueFilter {
  #part = Part.Start;

  /** Bytes of a start that isn't classified yet, as latin1. */
  #start = '';

  #isLineEmpty = false;

  /** Records that a request is sent, so that the next bytes start a head. */
  reset(): void {
    this.#part = Part.Start;
    this.#start = '';
  }

  /**
   * Returns the bytes for the parser, which may be none.
   *
   * @param bytes - received since the previous call
   */
  filter(bytes: Buffer): Buffer {
    if (this.#isRest) return bytes;
    if (this.#isFinalHead(bytes)) {
      this.#part = Part.Rest;
      return bytes;
    }
    const kept: Buffer[] = [];
    let offset = 0;
    while (offset < bytes.length && !this.#isRest) {
      offset =
        this.#part === Part.Start
          ? this.#readStart(bytes, offset, kept)
          : this.#readHead(bytes, offset, kept);
    }
    kept.push(bytes.subarray(offset));
    return Buffer.concat(kept);
  }

  get #isRest(): boolean {
    return this.#part === Part.Rest;
  }

  /** Recognizes the usual case by two bytes. */
  #isFinalHead(bytes: Buffer): boolean {
    const isStart = this.#part === Part.Start && this.#start === '';
    return (
      isStart &&
      bytes.length > STATUS_OFFSET &&
      bytes[0] === UPPER_H &&
      bytes[STATUS_OFFSET] !== ONE
    );
  }

  /** Reads one byte of the start of a head; returns the offset of the next one. */
  #readStart(bytes: Buffer, offset: number, kept: Buffer[]): number {
    const byte = bytes[offset] ?? 0;
    // The parser skips empty lines before a head.
    if (this.#start === '' && (byte === LINE_FEED || byte === CARRIAGE_RETURN)) {
      kept.push(bytes.subarray(offset, offset + 1));
      return offset + 1;
    }
    this.#start += String.fromCharCode(byte);
    const part = classifyStart(this.#start);
    if (part === undefined) return offset + 1;
    if (part !== Part.Continue) kept.push(Buffer.from(this.#start, 'latin1'));
    this.#part = part;
    this.#start = '';
    this.#isLineEmpty = byte === LINE_FEED;
    return offset + 1;
  }

  /** Reads an informational head up to its end; returns the offset of the next byte. */
  #readHead(bytes: Buffer, offset: number, kept: Buffer[]): number {
    const length = bytes.subarray(offset).findIndex((byte) => this.#isEnd(byte)) + 1;
    const end = length === 0 ? bytes.length : offset + length;
    if (this.#part === Part.Interim) kept.push(bytes.subarray(offset, end));
    if (length > 0) this.#part = Part.Start;
    return end;
  }

  /** Returns whether the byte ends an empty line. */
  #isEnd(byte: number): boolean {
    if (byte === LINE_FEED && this.#isLineEmpty) return true;
    this.#isLineEmpty = byte === LINE_FEED || (byte === CARRIAGE_RETURN && this.#isLineEmpty);
    return false;
  }
}
