/**
 * Limit on parsed bytes that are neither a final head nor body data: a head of 32 KiB, and 16 KiB for
 * informational responses before it.
 */
const MAX_OVERHEAD_BYTES = 49_152;
/** Parsed bytes per byte of a body; a chunk of one byte takes 6, and up to 63 with an extension. */
const MAX_PARSED_PER_BODY_BYTE = 64;
/**
 * Limit on the lines of one head or trailer section. The parser keeps each field as two objects of about
 * 0.1 KB until the connection is closed, so its bytes alone do not bound the memory.
 */
export const MAX_LINES = 250;

/** Largest part to parse at once where lines may come: they count only once they are parsed. */
const MAX_PART_BYTES = 4_096;
/** The same within a body in chunks; smaller parts of long bodies take more processor time. */
const MAX_CHUNKED_PART_BYTES = 32_768;

/** What a connection to an upstream is in the middle of. */
export enum ConnectionState {
  /** No request is sent. */
  Idle = 'IDLE',
  /** A request is sent, and its final response head has not arrived. */
  AwaitingHead = 'AWAITING_HEAD',
  /** The final response head has arrived, and the end of the response has not. */
  AwaitingEnd = 'AWAITING_END',
}

/**
 * Decides how many bytes of a connection may be parsed before its response makes progress. It answers a
 * faulty upstream that sends bytes without end: a status line, informational responses, fields, chunk
 * extensions or trailers.
 *
 * All counts of parsed bytes are those of the connection since it was opened.
 */
export default class OverheadBudget {
  #state = ConnectionState.Idle;

  #limitBytes = MAX_OVERHEAD_BYTES;

  #lines = 0;

  #maxPartBytes = MAX_PART_BYTES;

  get state(): ConnectionState {
    return this.#state;
  }

  /** Largest part that may be parsed before `isExceeded` is checked again. */
  get maxPartBytes(): number {
    return this.#maxPartBytes;
  }

  /** Records that a request is sent. */
  recordRequest(parsedBytes: number): void {
    this.#enter(ConnectionState.AwaitingHead, parsedBytes);
  }

  /** Records lines that are about to be parsed, whatever they belong to. */
  recordLines(lines: number): void {
    this.#lines += lines;
  }

  /** Records the head of an informational response, which is no progress. */
  recordInformational(): void {
    this.#lines = 0;
  }

  /**
   * Records the final head of the response.
   *
   * @param parsedBytes - bytes parsed so far
   * @param options - `isChunked`: whether the body is in chunks, and trailers may follow it
   */
  recordHead(parsedBytes: number, { isChunked }: { isChunked: boolean }): void {
    this.#enter(ConnectionState.AwaitingEnd, parsedBytes);
    // Without chunks, all that follows is body data.
    if (!isChunked) this.#maxPartBytes = Infinity;
  }

  /**
   * Records a part of the body.
   *
   * @param sizeBytes - length of the part, without its framing
   * @param parsedBytes - bytes parsed so far
   */
  recordBody(sizeBytes: number, parsedBytes: number): void {
    this.#lines = 0;
    this.#maxPartBytes = Math.max(this.#maxPartBytes, MAX_CHUNKED_PART_BYTES);
    this.#limitBytes = Math.min(
      this.#limitBytes + sizeBytes * MAX_PARSED_PER_BODY_BYTE,
      parsedBytes + MAX_OVERHEAD_BYTES,
    );
  }

  /** Records the end of the response. */
  recordEnd(parsedBytes: number): void {
    this.#enter(ConnectionState.Idle, parsedBytes);
  }

  /** Returns whether the connection is to be closed. */
  isExceeded(parsedBytes: number): boolean {
    return parsedBytes > this.#limitBytes || this.#lines > MAX_LINES;
  }

  #enter(state: ConnectionState, parsedBytes: number): void {
    this.#state = state;
    this.#lines = 0;
    this.#maxPartBytes = MAX_PART_BYTES;
    this.#limitBytes = parsedBytes + MAX_OVERHEAD_BYTES;
  }
}
