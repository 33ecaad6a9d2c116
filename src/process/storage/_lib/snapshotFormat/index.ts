import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import { StorageError, StorageErrorCode } from '../../StorageError/index.js';

/** State after the entry at `lastIndex`; replaces the log entries up to that index. */
export interface StoredSnapshot {
  lastIndex: number;
  lastTerm: number;
  payload: Uint8Array;
}

const SNAPSHOT_HEADER_BYTES = 8;

/** Encodes a snapshot with the index and term of its last entry. */
export const encodeSnapshot = (snapshot: StoredSnapshot): Uint8Array => {
  const header = Buffer.alloc(SNAPSHOT_HEADER_BYTES);
  header.writeUInt32LE(snapshot.lastIndex, 0);
  header.writeUInt32LE(snapshot.lastTerm, 4);
  return Buffer.concat([header, snapshot.payload]);
};

/** Decodes the output of `encodeSnapshot`; Corrupt if it is too short. */
export const decodeSnapshot = (record: Uint8Array): Result<StoredSnapshot, StorageError> => {
  if (record.length < SNAPSHOT_HEADER_BYTES) {
    return err(
      new StorageError(StorageErrorCode.Corrupt, 'the snapshot is shorter than its header'),
    );
  }
  const bytes = Buffer.from(record.buffer, record.byteOffset, record.length);
  return ok({
    lastIndex: bytes.readUInt32LE(0),
    lastTerm: bytes.readUInt32LE(4),
    payload: bytes.subarray(SNAPSHOT_HEADER_BYTES),
  });
};
