/** Why durable storage could not do what it was asked. */
export enum StorageErrorCode {
  /** Stored bytes fail their checksum, or files contradict each other. */
  Corrupt = 'CORRUPT',
  /** The files were written by another format version. */
  UnsupportedFormat = 'UNSUPPORTED_FORMAT',
  /** A file belongs to another disk identity. */
  IdentityMismatch = 'IDENTITY_MISMATCH',
  DiskFull = 'DISK_FULL',
  SyncFailed = 'SYNC_FAILED',
  IoFailed = 'IO_FAILED',
  Closed = 'CLOSED',
}

/** Failure of the durable storage of one control VM. */
export class StorageError extends Error {
  readonly code: StorageErrorCode;

  /**
   * @param code - the kind of failure
   * @param message - one sentence with the file concerned
   * @param cause - the system error, if there is one
   */
  constructor(code: StorageErrorCode, message: string, cause?: unknown) {
    super(message, { cause });
    this.name = 'StorageError';
    this.code = code;
  }
}
