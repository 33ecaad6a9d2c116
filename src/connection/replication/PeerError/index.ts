/** How a request to a control peer failed. */
export enum PeerErrorCode {
  /** The request did not run: no connection, or refused before it had any effect. */
  NotRun = 'NOT_RUN',
  /** The request may have run: the response is missing. */
  Unknown = 'UNKNOWN',
}

/** Failure of a request to a control peer. */
export class PeerError extends Error {
  readonly code: PeerErrorCode;

  /**
   * @param code - whether the request may have run
   * @param message - one sentence
   * @param cause - the error of connect-es or of the handler
   */
  constructor(code: PeerErrorCode, message: string, cause?: unknown) {
    super(message, { cause });
    this.name = 'PeerError';
    this.code = code;
  }
}
