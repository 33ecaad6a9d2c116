/** Why the replicated log could not do what it was asked. */
export enum ReplicationErrorCode {
  /** No majority confirmed the answer in time. */
  Unconfirmed = 'UNCONFIRMED',
  /** The data folder cannot be used; `cause` is the StorageError. */
  StorageFailed = 'STORAGE_FAILED',
  InvalidSettings = 'INVALID_SETTINGS',
  /** This member is not the leader; the request did not run. */
  NotLeader = 'NOT_LEADER',
  /** A membership change is under way or the request contradicts the membership; did not run. */
  Refused = 'REFUSED',
  /** The outcome was not learnt in time; the request may have run. */
  Unknown = 'UNKNOWN',
}

/** Failure of the replicated log of one control VM. */
export class ReplicationError extends Error {
  readonly code: ReplicationErrorCode;

  /**
   * @param code - the kind of failure
   * @param message - one sentence
   * @param cause - the error of the layer below, if there is one
   */
  constructor(code: ReplicationErrorCode, message: string, cause?: unknown) {
    super(message, { cause });
    this.name = 'ReplicationError';
    this.code = code;
  }
}
