/** Kinds of failures of the durable storage. */
export enum StorageErrorCode {
  /** A checksum does not match, or files are inconsistent with each other. */
  Corrupt = 'CORRUPT',
  /** The files have another format version. */
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
   * @param message - one sentence that includes the file concerned
   * @param cause - the underlying system error, if any
   */
  constructor(code: StorageErrorCode, message: string, cause?: unknown) {
    super(message, { cause });
    this.name = 'StorageError';
    this.code = code;
  }
}
