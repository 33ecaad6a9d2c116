/** Why TLS material cannot be used. */
export enum TlsErrorCode {
  MissingFile = 'MISSING_FILE',
  Undecodable = 'UNDECODABLE',
  KeyMismatch = 'KEY_MISMATCH',
  NotYetValid = 'NOT_YET_VALID',
  Expired = 'EXPIRED',
  UnknownIssuer = 'UNKNOWN_ISSUER',
  WrongName = 'WRONG_NAME',
  WrongRole = 'WRONG_ROLE',
}

/** Key, certificate or CA that a process must not use. Messages never contain key material. */
export class TlsError extends Error {
  override readonly name = 'TlsError';

  /**
   * @param code - the fault
   * @param message - one sentence that names the file
   */
  constructor(
    readonly code: TlsErrorCode,
    message: string,
  ) {
    super(message);
  }
}
