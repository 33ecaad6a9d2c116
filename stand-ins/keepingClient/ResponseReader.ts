/** Reads the responses on one connection, with a length, in chunks or up to its end. */

/** A complete response. */
export interface ReceivedResponse {
  statusCode: number;
  /** Whether the connection closes after it. */
  isClosing: boolean;
  /** Status line and headers. */
  head: string;
  /** Body as it was framed, with the chunk sizes. */
  framedBody: string;
  /** Heads of the informational responses before it. */
  informational: string[];
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

  #informational: string[] = [];

  /**
   * Adds received bytes.
   *
   * @param chunk - bytes of the connection
   * @returns the responses that are complete with them
   */
  add(chunk: Buffer): ReceivedResponse[] {
    this.#bytes += chunk.toString('latin1');
    const complete: ReceivedResponse[] = [];
    for (let next = this.#take(false); next; next = this.#take(false)) {
      if (next.statusCode >= FIRST_FINAL_STATUS) complete.push(next);
    }
    return complete;
  }

  /** Returns the response that is complete because the connection has ended in order, if any. */
  finish(): ReceivedResponse | undefined {
    return this.#take(true);
  }

  /** The bytes of a response that is not complete. */
  get incomplete(): string {
    return this.#bytes;
  }

  #take(isEnded: boolean): ReceivedResponse | undefined {
    const headEnd = this.#bytes.indexOf(HEAD_END);
    if (headEnd < 0) return undefined;
    const head = this.#bytes.slice(0, headEnd);
    const bodyStart = headEnd + HEAD_END.length;
    const end = this.#findEnd(head.toLowerCase(), bodyStart, isEnded);
    if (end === undefined || this.#bytes.length < end) return undefined;
    const framedBody = this.#bytes.slice(bodyStart, end);
    this.#bytes = this.#bytes.slice(end);
    const statusCode = Number(head.split(' ')[1]);
    const informational = this.#informational;
    this.#informational = statusCode < FIRST_FINAL_STATUS ? [...informational, head] : [];
    const isClosing = /\r\nconnection: close/i.test(head);
    return { statusCode, isClosing, head, framedBody, informational };
  }

  #findEnd(lowerCaseHead: string, bodyStart: number, isEnded: boolean): number | undefined {
    if (Number(lowerCaseHead.split(' ')[1]) < FIRST_FINAL_STATUS) return bodyStart;
    const lengthBytes = Number(/\r\ncontent-length: (\d+)/.exec(lowerCaseHead)?.[1]);
    if (!Number.isNaN(lengthBytes)) return bodyStart + lengthBytes;
    if (lowerCaseHead.includes('\r\ntransfer-encoding: chunked')) {
      return findChunkedEnd(this.#bytes, bodyStart);
    }
    return isEnded ? this.#bytes.length : undefined;
  }
}
