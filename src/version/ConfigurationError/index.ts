/** Why a configuration or a delta cannot be used. */
export enum ConfigurationErrorCode {
  BaseMismatch = 'BASE_MISMATCH',
  HashMismatch = 'HASH_MISMATCH',
  NotNewer = 'NOT_NEWER',
  VersionMissing = 'VERSION_MISSING',
  DuplicateName = 'DUPLICATE_NAME',
  UnknownService = 'UNKNOWN_SERVICE',
  WeightSum = 'WEIGHT_SUM',
}

/** A configuration or delta that does not satisfy the rules of a version. */
export class ConfigurationError extends Error {
  override readonly name = 'ConfigurationError';

  /**
   * @param code - the rule that is violated
   * @param message - one sentence with the names and numbers concerned
   */
  constructor(
    readonly code: ConfigurationErrorCode,
    message: string,
  ) {
    super(message);
  }
}
