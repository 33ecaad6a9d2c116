/**
 * Layout of the log file: one header, then frames. Integers are little-endian uint32.
 *
 * A frame holds the entries of one append, which is synced before the next one starts. Therefore
 * only the last frame can be incomplete after a crash; an invalid frame followed by a valid one is
 * corruption. A frame whose first index already exists replaces the entries from that index on.
 */
import { CHECKSUM_BYTES, computeChecksum } from '../computeChecksum/index.js';

/** An entry of the replicated log in its stored form. */
export interface StoredEntry {
  index: number;
  term: number;
  payload: Uint8Array;
}

export interface LogHeader {
  diskIdentity: string;
  /** Index and term of the entry before the first one in the file; 0 when there is none. */
  baseIndex: number;
  baseTerm: number;
}

export const LOG_FORMAT_VERSION = 1;
export const LOG_MAGIC = 0x4c56_5846;
export const FRAME_MAGIC = 0x4656_5846;
export const IDENTITY_BYTES = 36;
/** Magic, format version, identity, base index and base term. */
export const LOG_FIELDS_BYTES = 4 + 4 + IDENTITY_BYTES + 4 + 4;
export const LOG_HEADER_BYTES = LOG_FIELDS_BYTES + CHECKSUM_BYTES;
/** Magic, payload length, first index and payload checksum. */
export const FRAME_FIELDS_BYTES = 4 + 4 + 4 + CHECKSUM_BYTES;
export const FRAME_HEADER_BYTES = FRAME_FIELDS_BYTES + CHECKSUM_BYTES;
export const ENTRY_HEADER_BYTES = 8;

/** Encodes the header of a log file. */
export const encodeLogHeader = (header: LogHeader): Buffer => {
  const bytes = Buffer.alloc(LOG_HEADER_BYTES);
  bytes.writeUInt32LE(LOG_MAGIC, 0);
  bytes.writeUInt32LE(LOG_FORMAT_VERSION, 4);
  bytes.write(header.diskIdentity, 8, IDENTITY_BYTES, 'latin1');
  bytes.writeUInt32LE(header.baseIndex, 8 + IDENTITY_BYTES);
  bytes.writeUInt32LE(header.baseTerm, 12 + IDENTITY_BYTES);
  const fields = bytes.subarray(0, LOG_FIELDS_BYTES);
  computeChecksum('', fields).copy(bytes, LOG_FIELDS_BYTES);
  return bytes;
};

const encodeEntry = (entry: StoredEntry): Buffer[] => {
  const header = Buffer.alloc(ENTRY_HEADER_BYTES);
  header.writeUInt32LE(entry.term, 0);
  header.writeUInt32LE(entry.payload.length, 4);
  return [
    header,
    Buffer.from(entry.payload.buffer, entry.payload.byteOffset, entry.payload.length),
  ];
};

/**
 * Encodes consecutive entries as one frame.
 *
 * @param entries - at least one entry; indexes are consecutive
 * @param diskIdentity - seed of the checksums, so that leftover frames of an older file are invalid
 */
export const encodeFrame = (entries: StoredEntry[], diskIdentity: string): Buffer => {
  const payload = Buffer.concat(entries.flatMap(encodeEntry));
  const header = Buffer.alloc(FRAME_HEADER_BYTES);
  header.writeUInt32LE(FRAME_MAGIC, 0);
  header.writeUInt32LE(payload.length, 4);
  header.writeUInt32LE(entries[0]?.index ?? 0, 8);
  computeChecksum(diskIdentity, payload).copy(header, 12);
  const fields = header.subarray(0, FRAME_FIELDS_BYTES);
  computeChecksum(diskIdentity, fields).copy(header, FRAME_FIELDS_BYTES);
  return Buffer.concat([header, payload]);
};
