/**
 * Limit on received bytes that are neither a final head nor body data. A head or trailers may take
 * 32 KiB, and up to 80 KiB can be received before they are parsed: one read of 64 KiB on top of a
 * buffer of 16 KiB.
 */
export const MAX_OVERHEAD_BYTES = 131_072;
/** Received bytes per byte of a body; a chunk of one byte takes 6, and up to 63 with an extension. */
const MAX_RECEIVED_PER_BODY_BYTE = 64;

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
 * Decides how many bytes a connection may receive before its response makes progress. It answers a
 * faulty upstream that sends bytes without end: a status line, informational responses, chunk
 * extensions or trailers.
 *
 * All counts of received bytes are those of the connection since it was opened.
 */
export default class OverheadBudget {
  #state = ConnectionState.Idle;

  #limitBytes = MAX_OVERHEAD_BYTES;

  get state(): ConnectionState {
    return this.#state;
  }

  /** Records that a request is sent. */
  recordRequest(receivedBytes: number): void {
    this.#enter(ConnectionState.AwaitingHead, receivedBytes);
  }

  /** Records the final head of the response. */
  recordHead(receivedBytes: number): void {
    this.#enter(ConnectionState.AwaitingEnd, receivedBytes);
  }

  /**
   * Records a part of the body.
   *
   * @param sizeBytes - length of the part, without its framing
   * @param receivedBytes - bytes received so far
   */
  recordBody(sizeBytes: number, receivedBytes: number): void {
    this.#limitBytes = Math.min(
      this.#limitBytes + sizeBytes * MAX_RECEIVED_PER_BODY_BYTE,
      receivedBytes + MAX_OVERHEAD_BYTES,
    );
  }

  /** Records the end of the response. */
  recordEnd(receivedBytes: number): void {
    this.#enter(ConnectionState.Idle, receivedBytes);
  }

  /** Returns the bytes received beyond the limit; 0 or less within it. */
  computeExcessBytes(receivedBytes: number): number {
    return receivedBytes - this.#limitBytes;
  }

  #enter(state: ConnectionState, receivedBytes: number): void {
    this.#state = state;
    this.#limitBytes = receivedBytes + MAX_OVERHEAD_BYTES;
  }
}
