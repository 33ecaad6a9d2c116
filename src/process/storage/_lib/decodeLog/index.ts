import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import { StorageError, StorageErrorCode } from '../../StorageError/index.js';
import { CHECKSUM_BYTES, computeChecksum } from '../computeChecksum/index.js';
import {
  ENTRY_HEADER_BYTES,
  FRAME_FIELDS_BYTES,
  FRAME_HEADER_BYTES,
  FRAME_MAGIC,
  IDENTITY_BYTES,
  LOG_FIELDS_BYTES,
  LOG_FORMAT_VERSION,
  LOG_HEADER_BYTES,
  LOG_MAGIC,
} from '../logFormat/index.js';
import type { LogHeader, StoredEntry } from '../logFormat/index.js';

/** Content of a log file. */
export interface DecodedLog {
  header: LogHeader;
  entries: StoredEntry[];
  /** Length of the valid part; the rest of the file is a torn tail. */
  validBytes: number;
}

// A torn write leaves whole sectors unwritten; they are read as zeros.
const SECTOR_BYTES = 512;

interface Frame {
  firstIndex: number;
  payload: Buffer;
  endBytes: number;
}

const createCorruptError = (message: string): StorageError =>
  new StorageError(StorageErrorCode.Corrupt, message);

const matchesChecksum = (bytes: Buffer, offset: number, checksum: Buffer): boolean =>
  bytes.subarray(offset, offset + CHECKSUM_BYTES).equals(checksum);

const hasValidFrameHeader = (bytes: Buffer, offset: number, seed: string): boolean =>
  offset + FRAME_HEADER_BYTES <= bytes.length &&
  bytes.readUInt32LE(offset) === FRAME_MAGIC &&
  matchesChecksum(
    bytes,
    offset + FRAME_FIELDS_BYTES,
    computeChecksum(seed, bytes.subarray(offset, offset + FRAME_FIELDS_BYTES)),
  );

const readFrame = (bytes: Buffer, offset: number, seed: string): Frame | undefined => {
  if (!hasValidFrameHeader(bytes, offset, seed)) return undefined;
  const start = offset + FRAME_HEADER_BYTES;
  const endBytes = start + bytes.readUInt32LE(offset + 4);
  if (endBytes > bytes.length) return undefined;
  const payload = bytes.subarray(start, endBytes);
  if (!matchesChecksum(bytes, offset + 12, computeChecksum(seed, payload))) return undefined;
  return { firstIndex: bytes.readUInt32LE(offset + 8), payload, endBytes };
};

const readEntries = (frame: Frame): StoredEntry[] => {
  const entries: StoredEntry[] = [];
  let offset = 0;
  while (offset + ENTRY_HEADER_BYTES <= frame.payload.length) {
    const start = offset + ENTRY_HEADER_BYTES;
    const end = start + frame.payload.readUInt32LE(offset + 4);
    entries.push({
      index: frame.firstIndex + entries.length,
      term: frame.payload.readUInt32LE(offset),
      // A copy, so that an entry does not keep the content of the whole file in memory.
      payload: new Uint8Array(frame.payload.subarray(start, end)),
    });
    offset = end;
  }
  return entries;
};

const hasLaterFrame = (bytes: Buffer, offset: number, seed: string): boolean => {
  const magic = Buffer.alloc(4);
  magic.writeUInt32LE(FRAME_MAGIC);
  let candidate = bytes.indexOf(magic, offset + 1);
  while (candidate !== -1) {
    if (readFrame(bytes, candidate, seed)) return true;
    candidate = bytes.indexOf(magic, candidate + 1);
  }
  return false;
};

const hasUnwrittenSector = (bytes: Buffer, offset: number): boolean => {
  let start = offset;
  while (start < bytes.length) {
    const end = Math.min(bytes.length, start - (start % SECTOR_BYTES) + SECTOR_BYTES);
    if (bytes.subarray(start, end).every((byte) => byte === 0)) return true;
    start = end;
  }
  return false;
};

/**
 * Distinguishes an append that a crash interrupted (true) from corruption of an acknowledged frame
 * (false).
 */
const isTornTail = (bytes: Buffer, offset: number, seed: string): boolean => {
  if (hasLaterFrame(bytes, offset, seed)) return false;
  if (bytes.length - offset < FRAME_HEADER_BYTES) return true;
  if (hasValidFrameHeader(bytes, offset, seed)) {
    const endBytes = offset + FRAME_HEADER_BYTES + bytes.readUInt32LE(offset + 4);
    if (endBytes > bytes.length) return true;
  }
  return hasUnwrittenSector(bytes, offset);
};

const decodeHeader = (bytes: Buffer, diskIdentity: string): Result<LogHeader, StorageError> => {
  if (bytes.length < LOG_HEADER_BYTES || bytes.readUInt32LE(0) !== LOG_MAGIC) {
    return err(createCorruptError('the log file has no valid header'));
  }
  const checksum = computeChecksum('', bytes.subarray(0, LOG_FIELDS_BYTES));
  if (!matchesChecksum(bytes, LOG_FIELDS_BYTES, checksum)) {
    return err(createCorruptError('the checksum of the log file header does not match'));
  }
  const version = bytes.readUInt32LE(4);
  if (version !== LOG_FORMAT_VERSION) {
    const message = `the log file has format version ${version}, expected ${LOG_FORMAT_VERSION}`;
    return err(new StorageError(StorageErrorCode.UnsupportedFormat, message));
  }
  const found = bytes.toString('latin1', 8, 8 + IDENTITY_BYTES);
  if (found !== diskIdentity) {
    const message = `the log file belongs to disk identity ${found}, expected ${diskIdentity}`;
    return err(new StorageError(StorageErrorCode.IdentityMismatch, message));
  }
  const baseIndex = bytes.readUInt32LE(8 + IDENTITY_BYTES);
  return ok({ diskIdentity, baseIndex, baseTerm: bytes.readUInt32LE(12 + IDENTITY_BYTES) });
};

/**
 * Decodes a log file.
 *
 * @param content - the whole file
 * @param diskIdentity - expected disk identity of the file
 * @returns the entries before a torn tail; Corrupt for any other damage, UnsupportedFormat or
 *   IdentityMismatch if the header does not match
 */
export const decodeLog = (
  content: Uint8Array,
  diskIdentity: string,
): Result<DecodedLog, StorageError> => {
  const bytes = Buffer.from(content.buffer, content.byteOffset, content.length);
  const header = decodeHeader(bytes, diskIdentity);
  if (header.isErr()) return err(header.error);
  const { baseIndex } = header.value;
  const entries: StoredEntry[] = [];
  let offset = LOG_HEADER_BYTES;
  let frame = readFrame(bytes, offset, diskIdentity);
  while (frame) {
    const keptCount = frame.firstIndex - baseIndex - 1;
    if (keptCount < 0 || keptCount > entries.length) {
      return err(
        createCorruptError(
          `the log file has an unexpected index ${frame.firstIndex} at byte ${offset}`,
        ),
      );
    }
    entries.length = keptCount;
    entries.push(...readEntries(frame));
    offset = frame.endBytes;
    frame = readFrame(bytes, offset, diskIdentity);
  }
  if (offset < bytes.length && !isTornTail(bytes, offset, diskIdentity)) {
    return err(createCorruptError(`the log file is corrupt at byte ${offset} of ${bytes.length}`));
  }
  return ok({ header: header.value, entries, validBytes: offset });
};
