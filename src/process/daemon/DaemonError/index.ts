/** Reason why a daemon could not start. */
export enum DaemonErrorCode {
  ListenFailed = 'LISTEN_FAILED',
  StorageFailed = 'STORAGE_FAILED',
  TokenUnreadable = 'TOKEN_UNREADABLE',
  TlsInvalid = 'TLS_INVALID',
}

export class DaemonError extends Error {
  override readonly name = 'DaemonError';

  /**
   * @param code - what failed
   * @param message - one sentence for the operator
   * @param cause - underlying error
   */
  constructor(
    readonly code: DaemonErrorCode,
    message: string,
    cause?: unknown,
  ) {
    super(message, { cause });
  }
}
