import { StorageError, StorageErrorCode } from '../../StorageError/index.js';

const FULL_DISK_CODES = ['ENOSPC', 'EDQUOT', 'EFBIG'];

const isFullDisk = (error: unknown): boolean =>
  error instanceof Error && 'code' in error && FULL_DISK_CODES.includes(String(error.code));

/**
 * Converts a system error into a storage error.
 *
 * @param error - the thrown value; a StorageError is returned unchanged
 * @param message - describes the failed operation
 * @param code - kind of failure; DiskFull takes precedence if the disk is full
 */
const convertError = (
  error: unknown,
  message: string,
  code = StorageErrorCode.IoFailed,
): StorageError => {
  if (error instanceof StorageError) return error;
  const reason = error instanceof Error ? error.message : String(error);
  const actualCode = isFullDisk(error) ? StorageErrorCode.DiskFull : code;
  return new StorageError(actualCode, `${message}: ${reason}`, error);
};

export default convertError;
