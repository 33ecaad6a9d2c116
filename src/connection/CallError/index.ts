/** How a call to an upstream failed, as far as execution is concerned. */
export enum CallErrorCode {
  /** No byte of the request was written. */
  NotWritten = 'NOT_WRITTEN',
  /** The upstream node marked its refusal: the request did not run. */
  Refused = 'REFUSED',
  /** The request may have run; no response head was received. */
  NoResponse = 'NO_RESPONSE',
  /** The upstream node reported that its deadline passed; the request may have run. */
  TimedOut = 'TIMED_OUT',
  /** The server shed the request; its response was withheld because a retry is allowed. */
  Shed = 'SHED',
  /** The response ended before it was complete. */
  Truncated = 'TRUNCATED',
  /** This node gave the call up: the caller left or the deadline passed. */
  Cancelled = 'CANCELLED',
}

/** A call to an upstream that did not end with a complete response. */
export class CallError extends Error {
  override readonly name = 'CallError';

  /**
   * @param code - what is known about the execution
   * @param message - reason for people
   * @param options - `isWritten`: whether a byte of the request may have been written;
   *   `retryAfterMs`: pause that the upstream asked for; `isServerRefusal`: the server refused the
   *   request, not the node beside it; `cause`: error of the layer below
   */
  constructor(
    readonly code: CallErrorCode,
    message: string,
    readonly options: {
      isWritten: boolean;
      retryAfterMs?: number | undefined;
      isServerRefusal?: boolean;
      cause?: unknown;
    },
  ) {
    super(message, { cause: options.cause });
  }
}
