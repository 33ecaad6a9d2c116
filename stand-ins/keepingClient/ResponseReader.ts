/** Reads the responses on one connection, with a length or in chunks. */

/** A complete response. */
export interface ReceivedResponse {
  statusCode: number;
  /** Whether the connection closes after it. */
  isClosing: boolean;
}

const HEAD_END = '\r\n\r\n';
const LINE_END = '\r\n';
const FIRST_FINAL_STATUS = 200;
const HEXADECIMAL = 16;

/** Returns the index behind the last chunk of a body; undefined while it is incomplete. */
const findChunkedEnd = (bytes: string, start: number): number | undefined => {
  const sizeEnd = bytes.indexOf(LINE_END, start);
  if (sizeEnd < 0) return undefined;
  const size = Number.parseInt(bytes.slice(start, sizeEnd), HEXADECIMAL);
  const next = sizeEnd + LINE_END.length + size + LINE_END.length;
  if (bytes.length < next) return undefined;
  return size === 0 ? next : findChunkedEnd(bytes, next);
};

export default class ResponseReader {
  #bytes = '';

  /**
   * Adds received bytes.
   *
   * @param chunk - bytes of the connection
   * @returns the responses that are complete with them
   */
  add(chunk: Buffer): ReceivedResponse[] {
    this.#bytes += chunk.toString('latin1');
    const complete: ReceivedResponse[] = [];
    for (let next = this.#take(); next; next = this.#take()) {
      if (next.statusCode >= FIRST_FINAL_STATUS) complete.push(next);
    }
    return complete;
  }

  /** The bytes of a response that is not complete. */
  get incomplete(): string {
    return this.#bytes;
  }

  #take(): ReceivedResponse | undefined {
    const headEnd = this.#bytes.indexOf(HEAD_END);
    if (headEnd < 0) return undefined;
    const head = this.#bytes.slice(0, headEnd).toLowerCase();
    const bodyStart = headEnd + HEAD_END.length;
    const statusCode = Number(head.split(' ')[1]);
    const isInformational = statusCode < FIRST_FINAL_STATUS;
    const lengthBytes = isInformational ? 0 : Number(/\r\ncontent-length: (\d+)/.exec(head)?.[1]);
    const end = Number.isNaN(lengthBytes)
      ? findChunkedEnd(this.#bytes, bodyStart)
      : bodyStart + lengthBytes;
    if (end === undefined || this.#bytes.length < end) return undefined;
    this.#bytes = this.#bytes.slice(end);
    return { statusCode, isClosing: /\r\nconnection: close/.test(head) };
  }
}
