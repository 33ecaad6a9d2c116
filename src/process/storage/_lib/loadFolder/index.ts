import { join } from 'node:path';

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import type FileOperations from '../../FileOperations/index.js';
import { StorageError, StorageErrorCode } from '../../StorageError/index.js';
import { decodeLog } from '../decodeLog/index.js';
import type { DecodedLog } from '../decodeLog/index.js';
import { LOG_HEADER_BYTES, encodeLogHeader } from '../logFormat/index.js';
import type { StoredEntry } from '../logFormat/index.js';
import { TEMPORARY_SUFFIX, decodeRecord, encodeRecord, replaceFile } from '../recordFile/index.js';
import { decodeSnapshot } from '../snapshotFormat/index.js';
import type { StoredSnapshot } from '../snapshotFormat/index.js';
import { decodeState, encodeState } from '../stateFormat/index.js';
import type { HardState } from '../stateFormat/index.js';

export const STATE_FILE = 'state';
export const LOG_FILE = 'log';
export const SNAPSHOT_FILE = 'snapshot';

/** Content of a data folder. */
export interface LoadedFolder {
  diskIdentity: string;
  hardState: HardState;
  snapshot: StoredSnapshot | undefined;
  entries: StoredEntry[];
  baseIndex: number;
  baseTerm: number;
  logBytes: number;
}

const EMPTY_STATE: HardState = { term: 0, votedFor: '', clusterId: '' };

const createCorruptError = (message: string): StorageError =>
  new StorageError(StorageErrorCode.Corrupt, message);

/**
 * Creates the files of an empty folder. The state file is written last: a folder without it was
 * never used, and a folder with it must also contain a log.
 */
const initialiseFolder = async (
  files: FileOperations,
  folder: string,
  diskIdentity: string,
): Promise<Result<LoadedFolder, StorageError>> => {
  const log = await files.read(join(folder, LOG_FILE));
  const snapshot = await files.read(join(folder, SNAPSHOT_FILE));
  if ((log && log.length > LOG_HEADER_BYTES) || snapshot) {
    return err(
      createCorruptError('the data folder contains a log or a snapshot but no state file'),
    );
  }
  const header = encodeLogHeader({ diskIdentity, baseIndex: 0, baseTerm: 0 });
  await replaceFile(files, folder, LOG_FILE, header);
  await replaceFile(
    files,
    folder,
    STATE_FILE,
    encodeRecord(encodeState(diskIdentity, EMPTY_STATE)),
  );
  return ok({
    diskIdentity,
    hardState: EMPTY_STATE,
    snapshot: undefined,
    entries: [],
    baseIndex: 0,
    baseTerm: 0,
    logBytes: header.length,
  });
};

const readSnapshot = async (
  files: FileOperations,
  folder: string,
): Promise<Result<StoredSnapshot | undefined, StorageError>> => {
  const content = await files.read(join(folder, SNAPSHOT_FILE));
  if (!content) return ok(undefined);
  return decodeRecord(content, SNAPSHOT_FILE).andThen(decodeSnapshot);
};

/** Reports whether the log contains the last entry of the snapshot or starts right after it. */
const continuesSnapshot = (log: DecodedLog, snapshot: StoredSnapshot): boolean => {
  if (log.header.baseIndex === snapshot.lastIndex) {
    return log.header.baseTerm === snapshot.lastTerm;
  }
  const entry = log.entries[snapshot.lastIndex - log.header.baseIndex - 1];
  return entry !== undefined && entry.term === snapshot.lastTerm;
};

const truncateTail = async (
  files: FileOperations,
  folder: string,
  lengthBytes: number,
): Promise<void> => {
  const file = await files.open(join(folder, LOG_FILE));
  try {
    await file.truncate(lengthBytes);
    await file.sync();
  } finally {
    await file.close();
  }
};

const loadLog = async (
  files: FileOperations,
  folder: string,
  diskIdentity: string,
  snapshot: StoredSnapshot | undefined,
): Promise<Result<DecodedLog, StorageError>> => {
  const content = await files.read(join(folder, LOG_FILE));
  if (!content) return err(createCorruptError('the data folder contains a state file but no log'));
  const decoded = decodeLog(content, diskIdentity);
  if (decoded.isErr()) return decoded;
  const log = decoded.value;
  if (log.header.baseIndex > (snapshot?.lastIndex ?? 0)) {
    return err(createCorruptError('the log starts after the end of the snapshot'));
  }
  if (snapshot && !continuesSnapshot(log, snapshot)) {
    // The process stopped after it stored the snapshot of another member and before the new log.
    const { lastIndex: baseIndex, lastTerm: baseTerm } = snapshot;
    const header = { diskIdentity, baseIndex, baseTerm };
    const bytes = encodeLogHeader(header);
    await replaceFile(files, folder, LOG_FILE, bytes);
    return ok({ header, entries: [], validBytes: bytes.length });
  }
  if (log.validBytes < content.length) await truncateTail(files, folder, log.validBytes);
  return decoded;
};

/**
 * Reads a data folder, truncates a torn tail and completes writes that a crash interrupted.
 *
 * @param files - file operations
 * @param folder - data folder; created if missing
 * @param createIdentity - creates the disk identity of an empty folder
 * @returns the content; Corrupt, UnsupportedFormat or IdentityMismatch otherwise; throws system
 *   errors
 */
export const loadFolder = async (
  files: FileOperations,
  folder: string,
  createIdentity: () => string,
): Promise<Result<LoadedFolder, StorageError>> => {
  await files.createFolder(folder);
  await Promise.all(
    [STATE_FILE, LOG_FILE, SNAPSHOT_FILE].map((name) =>
      files.remove(join(folder, name + TEMPORARY_SUFFIX)),
    ),
  );
  const stateContent = await files.read(join(folder, STATE_FILE));
  if (!stateContent) return initialiseFolder(files, folder, createIdentity());
  const state = decodeRecord(stateContent, STATE_FILE).andThen(decodeState);
  if (state.isErr()) return err(state.error);
  const { diskIdentity, hardState } = state.value;
  const snapshot = await readSnapshot(files, folder);
  if (snapshot.isErr()) return err(snapshot.error);
  const log = await loadLog(files, folder, diskIdentity, snapshot.value);
  if (log.isErr()) return err(log.error);
  const { header, entries, validBytes } = log.value;
  return ok({
    diskIdentity,
    hardState,
    snapshot: snapshot.value,
    entries,
    baseIndex: header.baseIndex,
    baseTerm: header.baseTerm,
    logBytes: validBytes,
  });
};
