/** Why a version was not installed. */
export enum InstallErrorCode {
  Older = 'OLDER',
  Conflict = 'CONFLICT',
  BaseMismatch = 'BASE_MISMATCH',
  HashMismatch = 'HASH_MISMATCH',
  Invalid = 'INVALID',
  Undecodable = 'UNDECODABLE',
}

/** A version that was refused as a whole. */
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
