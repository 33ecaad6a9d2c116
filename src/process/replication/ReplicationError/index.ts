/** Kinds of failures of the replicated log. */
export enum ReplicationErrorCode {
  /** No majority confirmed the newest version in time. */
  Unconfirmed = 'UNCONFIRMED',
  /** The data folder cannot be used; `cause` is the StorageError. */
  StorageFailed = 'STORAGE_FAILED',
  InvalidSettings = 'INVALID_SETTINGS',
  /** This member is not the leader; the request did not run. */
  NotLeader = 'NOT_LEADER',
  /** A membership change is pending, or the membership does not allow this one; it did not run. */
  Refused = 'REFUSED',
  /** The outcome was not known in time; the request may have run. */
  Unknown = 'UNKNOWN',
}

/** Failure of the replicated log of one control VM. */
export class ReplicationError extends Error {
  readonly code: ReplicationErrorCode;

  /**
   * @param code - the kind of failure
   * @param message - one sentence
   * @param cause - the underlying error, if any
   */
  constructor(code: ReplicationErrorCode, message: string, cause?: unknown) {
    super(message, { cause });
    this.name = 'ReplicationError';
    this.code = code;
  }
}
