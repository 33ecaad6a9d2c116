/** Whether a failed request to a control peer may have run. */
export enum PeerErrorCode {
  /** The request did not run: the connection failed, or the peer refused it before any effect. */
  NotRun = 'NOT_RUN',
  /** The request may have run; no response was received. */
  Unknown = 'UNKNOWN',
}

/** Failure of a request to a control peer. */
export class PeerError extends Error {
  readonly code: PeerErrorCode;

  /**
   * @param code - whether the request may have run
   * @param message - what failed
   * @param cause - error of connect-es or of the handler
   */
  constructor(code: PeerErrorCode, message: string, cause?: unknown) {
    super(message, { cause });
    this.name = 'PeerError';
    this.code = code;
  }
}
