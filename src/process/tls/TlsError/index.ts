/** Why TLS material can't be used. */
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

/** Reports a key, certificate or CA that can't be used. Messages never contain key material. */
export class TlsError extends Error {
  override readonly name = 'TlsError';

  /**
   * @param code - the fault
   * @param message - one sentence that includes the path of the file
   */
  constructor(
    readonly code: TlsErrorCode,
    message: string,
  ) {
    super(message);
  }
}
