/** Stores the log, snapshot, term, vote and disk identity of one control VM in a data folder. */
import { randomUUID } from 'node:crypto';
import { join } from 'node:path';

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import type AppendFile from '../AppendFile/index.js';
import type FileOperations from '../FileOperations/index.js';
import NodeFiles from '../NodeFiles/index.js';
import { StorageError, StorageErrorCode } from '../StorageError/index.js';
import SerialQueue from '../SerialQueue/index.js';
import convertError from '../_lib/convertError/index.js';
import { encodeFrame, encodeLogHeader } from '../_lib/logFormat/index.js';
import type { StoredEntry } from '../_lib/logFormat/index.js';
import { LOG_FILE, SNAPSHOT_FILE, STATE_FILE, loadFolder } from '../_lib/loadFolder/index.js';
import type { LoadedFolder } from '../_lib/loadFolder/index.js';
import { encodeRecord, replaceFile } from '../_lib/recordFile/index.js';
import { encodeSnapshot } from '../_lib/snapshotFormat/index.js';
import type { StoredSnapshot } from '../_lib/snapshotFormat/index.js';
import { encodeState } from '../_lib/stateFormat/index.js';
import type { HardState } from '../_lib/stateFormat/index.js';

export type { StoredEntry } from '../_lib/logFormat/index.js';
export type { StoredSnapshot } from '../_lib/snapshotFormat/index.js';
export type { HardState } from '../_lib/stateFormat/index.js';

export interface OpenStorageOptions {
  /** Defaults to `NodeFiles`. */
  files?: FileOperations;
  /** Creates the identity of a new data folder; 36 ASCII characters. */
  createIdentity?: () => string;
}

/** State read from the data folder at startup. */
export interface RecoveredState {
  diskIdentity: string;
  hardState: HardState;
  snapshot: StoredSnapshot | undefined;
  /** Entries after `baseIndex`. */
  entries: StoredEntry[];
  baseIndex: number;
  baseTerm: number;
}

/** An open data folder and the state read from it. */
export interface OpenedStorage {
  storage: DurableStorage;
  recovered: RecoveredState;
}

/**
 * Durable storage of one control VM. Operations run in the order of the calls and resolve once
 * their result is on disk. After the first failed write, every operation returns that failure.
 *
 * @example
 * const opened = await DurableStorage.open('/var/lib/foxtailvane');
 */
export class DurableStorage {
  readonly diskIdentity: string;

  readonly #folder: string;

  readonly #files: FileOperations;

  readonly #queue = new SerialQueue();

  #logFile: AppendFile;

  #failure: StorageError | undefined;

  #logBytes: number;

  /** Index of the entry before the first one in the log file. */
  #baseIndex: number;

  private constructor(
    folder: string,
    files: FileOperations,
    file: AppendFile,
    { diskIdentity, logBytes, baseIndex }: LoadedFolder,
  ) {
    this.#folder = folder;
    this.#files = files;
    this.diskIdentity = diskIdentity;
    this.#logFile = file;
    this.#logBytes = logBytes;
    this.#baseIndex = baseIndex;
  }

  /**
   * Opens a data folder, creating it with a new identity when it is empty.
   *
   * @param folder - path of the data folder; used by one process at a time
   * @param options - file operations and identity factory
   * @returns the storage; Corrupt, UnsupportedFormat, IdentityMismatch or an I/O failure otherwise
   */
  static async open(
    folder: string,
    options: OpenStorageOptions = {},
  ): Promise<Result<OpenedStorage, StorageError>> {
    const files = options.files ?? new NodeFiles();
    try {
      const loaded = await loadFolder(files, folder, options.createIdentity ?? randomUUID);
      if (loaded.isErr()) return err(loaded.error);
      const file = await files.open(join(folder, LOG_FILE));
      const { logBytes, ...recovered } = loaded.value;
      return ok({ storage: new DurableStorage(folder, files, file, loaded.value), recovered });
    } catch (error) {
      return err(convertError(error, `cannot open the data folder ${folder}`));
    }
  }

  /** The first failure, if any; every later operation returns it. */
  get failure(): StorageError | undefined {
    return this.#failure;
  }

  /** Length of the log file in bytes. */
  get logBytes(): number {
    return this.#logBytes;
  }

  /**
   * Appends entries in one synced write; replaces stored entries from the first index on. Entries that a
   * snapshot has covered since the call are left out.
   *
   * @param entries - consecutive entries; the first index is at most one past the last stored one
   * @returns once synced; DiskFull, SyncFailed or IoFailed otherwise
   */
  append(entries: StoredEntry[]): Promise<Result<void, StorageError>> {
    if (entries.length === 0) return Promise.resolve(ok(undefined));
    return this.#write('cannot append to the log', async () => {
      const uncovered = entries.filter(({ index }) => index > this.#baseIndex);
      if (uncovered.length === 0) return;
      const frame = encodeFrame(uncovered, this.diskIdentity);
      await this.#logFile.append(frame);
      await this.#syncFile(this.#logFile);
      this.#logBytes += frame.length;
    });
  }

  /** Stores term, vote and cluster; resolves once synced. */
  saveHardState(hardState: HardState): Promise<Result<void, StorageError>> {
    const bytes = encodeRecord(encodeState(this.diskIdentity, hardState));
    return this.#write('cannot store the term', () => this.#replace(STATE_FILE, bytes));
  }

  /**
   * Stores a snapshot and then rewrites the log without the entries that the snapshot covers.
   *
   * @param snapshot - replaces the previous one
   * @param retained - consecutive entries that the log keeps, up to the last one stored
   * @param base - index and term of the entry before the first retained one
   */
  saveSnapshot(
    snapshot: StoredSnapshot,
    retained: StoredEntry[],
    base: { index: number; term: number },
  ): Promise<Result<void, StorageError>> {
    return this.#write('cannot store a snapshot', async () => {
      await this.#replace(SNAPSHOT_FILE, encodeRecord(encodeSnapshot(snapshot)));
      const { diskIdentity } = this;
      const header = encodeLogHeader({
        diskIdentity,
        baseIndex: base.index,
        baseTerm: base.term,
      });
      const frames = retained.length > 0 ? [encodeFrame(retained, this.diskIdentity)] : [];
      const log = Buffer.concat([header, ...frames]);
      await this.#replace(LOG_FILE, log);
      await this.#logFile.close();
      this.#logFile = await this.#files.open(join(this.#folder, LOG_FILE));
      this.#logBytes = log.length;
      this.#baseIndex = base.index;
    });
  }

  /** Closes the log file after all pending operations. */
  async close(): Promise<void> {
    await this.#queue.run(async () => {
      this.#failure ??= new StorageError(StorageErrorCode.Closed, 'the storage is closed');
      await this.#logFile.close();
    });
  }

  async #syncFile(file: AppendFile): Promise<void> {
    try {
      await file.sync();
    } catch (error) {
      throw convertError(error, 'cannot sync the log', StorageErrorCode.SyncFailed);
    }
  }

  #replace(name: string, bytes: Uint8Array): Promise<void> {
    return replaceFile(this.#files, this.#folder, name, bytes);
  }

  #write(message: string, operation: () => Promise<void>): Promise<Result<void, StorageError>> {
    return this.#queue.run(async () => {
      if (this.#failure) return err(this.#failure);
      try {
        await operation();
        return ok(undefined);
      } catch (error) {
        // No retry is safe: after a failed sync the page cache may hold data that the disk lacks.
        this.#failure = convertError(error, message);
        return err(this.#failure);
      }
    });
  }
}
