/** Reason why a configuration version was not installed. */
export enum InstallErrorCode {
  Older = 'OLDER',
  Conflict = 'CONFLICT',
  BaseMismatch = 'BASE_MISMATCH',
  HashMismatch = 'HASH_MISMATCH',
  Invalid = 'INVALID',
  Undecodable = 'UNDECODABLE',
}

/** A configuration version that was refused; the version in force stays. */
export class InstallError extends Error {
  override readonly name = 'InstallError';

  /**
   * @param code - the rule that the version violates
   * @param version - number of the refused version
   * @param message - one sentence with the reason
   */
  constructor(
    readonly code: InstallErrorCode,
    readonly version: number,
    message: string,
  ) {
    super(message);
  }
}
