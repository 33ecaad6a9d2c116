/** A file that holds one checksummed record and is replaced as a whole. */
import { join } from 'node:path';

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import type FileOperations from '../../FileOperations/index.js';
import { StorageError, StorageErrorCode } from '../../StorageError/index.js';
import { CHECKSUM_BYTES, computeChecksum } from '../computeChecksum/index.js';

const RECORD_MAGIC = 0x5256_5846;
const RECORD_FORMAT_VERSION = 1;
const RECORD_FIELDS_BYTES = 12;
const RECORD_HEADER_BYTES = RECORD_FIELDS_BYTES + CHECKSUM_BYTES;

// The checksum covers the header fields as well as the payload.
const computeRecordChecksum = (fields: Uint8Array, payload: Uint8Array): Buffer =>
  computeChecksum(Buffer.from(fields).toString('latin1'), payload);

/** Suffix of files that are being written; leftover files are removed at startup. */
export const TEMPORARY_SUFFIX = '.tmp';

/** Encodes a payload with its format version, length and checksum. */
export const encodeRecord = (payload: Uint8Array): Buffer => {
  const header = Buffer.alloc(RECORD_HEADER_BYTES);
  header.writeUInt32LE(RECORD_MAGIC, 0);
  header.writeUInt32LE(RECORD_FORMAT_VERSION, 4);
  header.writeUInt32LE(payload.length, 8);
  const fields = header.subarray(0, RECORD_FIELDS_BYTES);
  computeRecordChecksum(fields, payload).copy(header, RECORD_FIELDS_BYTES);
  return Buffer.concat([header, payload]);
};

/**
 * Decodes a record.
 *
 * @param content - the whole file
 * @param name - name of the file, for error messages
 * @returns the payload; Corrupt or UnsupportedFormat otherwise
 */
export const decodeRecord = (
  content: Uint8Array,
  name: string,
): Result<Uint8Array, StorageError> => {
  const bytes = Buffer.from(content.buffer, content.byteOffset, content.length);
  const isValid =
    bytes.length >= RECORD_HEADER_BYTES &&
    bytes.readUInt32LE(0) === RECORD_MAGIC &&
    bytes.readUInt32LE(8) === bytes.length - RECORD_HEADER_BYTES &&
    bytes
      .subarray(RECORD_FIELDS_BYTES, RECORD_HEADER_BYTES)
      .equals(
        computeRecordChecksum(
          bytes.subarray(0, RECORD_FIELDS_BYTES),
          bytes.subarray(RECORD_HEADER_BYTES),
        ),
      );
  if (!isValid) {
    return err(
      new StorageError(
        StorageErrorCode.Corrupt,
        `the file ${name} has an invalid header or checksum`,
      ),
    );
  }
  const version = bytes.readUInt32LE(4);
  if (version !== RECORD_FORMAT_VERSION) {
    const message = `the file ${name} has format version ${version}, expected ${RECORD_FORMAT_VERSION}`;
    return err(new StorageError(StorageErrorCode.UnsupportedFormat, message));
  }
  return ok(bytes.subarray(RECORD_HEADER_BYTES));
};

/**
 * Replaces a file so that a crash leaves either the old or the new content.
 *
 * @param files - file operations
 * @param folder - data folder
 * @param name - name of the file in the folder
 * @param bytes - the new content
 */
export const replaceFile = async (
  files: FileOperations,
  folder: string,
  name: string,
  bytes: Uint8Array,
): Promise<void> => {
  const temporaryPath = join(folder, name + TEMPORARY_SUFFIX);
  const file = await files.create(temporaryPath);
  try {
    await file.append(bytes);
    await file.sync();
  } finally {
    await file.close();
  }
  await files.rename(temporaryPath, join(folder, name));
  await files.syncFolder(folder);
};
