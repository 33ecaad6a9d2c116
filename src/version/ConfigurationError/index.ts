/** Rule that a configuration or a delta violates. */
export enum ConfigurationErrorCode {
  BaseMismatch = 'BASE_MISMATCH',
  HashMismatch = 'HASH_MISMATCH',
  NotNewer = 'NOT_NEWER',
  VersionMissing = 'VERSION_MISSING',
  DuplicateName = 'DUPLICATE_NAME',
  UnknownService = 'UNKNOWN_SERVICE',
  WeightSum = 'WEIGHT_SUM',
  DuplicateKey = 'DUPLICATE_KEY',
  InvalidWorkspace = 'INVALID_WORKSPACE',
}

/** A configuration or delta that violates a rule. */
export class ConfigurationError extends Error {
  override readonly name = 'ConfigurationError';

  /**
   * @param code - the rule that is violated
   * @param message - one sentence with the names and numbers at fault
   */
  constructor(
    readonly code: ConfigurationErrorCode,
    message: string,
  ) {
    super(message);
  }
}
