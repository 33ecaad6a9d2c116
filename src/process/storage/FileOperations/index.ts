import type AppendFile from '../AppendFile/index.js';

/**
 * The file operations used by the durable storage. Tests replace them to simulate a failed sync, a
 * full disk or a crash at a given step. Every method rejects with the system error.
 */
export default abstract class FileOperations {
  /** Creates a folder and its parents if missing, then syncs the parent folder. */
  abstract createFolder(path: string): Promise<void>;

  /** Reads a whole file; undefined if it does not exist. */
  abstract read(path: string): Promise<Uint8Array | undefined>;

  /** Creates a file; truncates an existing one. */
  abstract create(path: string): Promise<AppendFile>;

  /** Opens an existing file for appending. */
  abstract open(path: string): Promise<AppendFile>;

  /** Renames a file, replacing the target. */
  abstract rename(from: string, to: string): Promise<void>;

  /** Removes a file if it exists. */
  abstract remove(path: string): Promise<void>;

  /** Syncs a folder, so that created, renamed and removed entries survive a crash. */
  abstract syncFolder(path: string): Promise<void>;
}
