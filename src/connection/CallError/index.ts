/** How a call to an upstream failed, and whether the request may have run. */
export enum CallErrorCode {
  /** No byte of the request was written. */
  NotWritten = 'NOT_WRITTEN',
  /** The upstream node reported that it refused the request; the request did not run. */
  Refused = 'REFUSED',
  /** The request may have run; no response head was received. */
  NoResponse = 'NO_RESPONSE',
  /** The upstream node reported that its deadline passed; the request may have run. */
  TimedOut = 'TIMED_OUT',
  /** The server shed load; its response was withheld because the request may be retried. */
  Shed = 'SHED',
  /** The response ended before it was complete. */
  Truncated = 'TRUNCATED',
  /** This node cancelled the call: the caller disconnected, the deadline passed or another call answered. */
  Cancelled = 'CANCELLED',
}

/** A whole response of a server that was withheld from the caller. */
export interface WithheldResponse {
  statusCode: number;
  /** Alternating names and values. */
  headers: string[];
  body: Buffer;
  /** Time from writing the request to the end of the response. */
  upstreamMs: number;
}

/** A call to an upstream that did not end with a complete response. */
export class CallError extends Error {
  override readonly name = 'CallError';

  /**
   * @param code - how the call failed
   * @param message - human-readable reason
   * @param options - `isWritten`: whether a byte of the request may have been written;
   *   `retryAfterMs`: retry delay requested by the upstream; `isServerRefusal`: the server refused
   *   the request, not its node; `response`: the withheld response, if it is whole and short; `cause`:
   *   error of the underlying layer
   */
  constructor(
    readonly code: CallErrorCode,
    message: string,
    readonly options: {
      isWritten: boolean;
      retryAfterMs?: number | undefined;
      isServerRefusal?: boolean;
      response?: WithheldResponse;
      cause?: unknown;
    },
  ) {
    super(message, { cause: options.cause });
  }
}
