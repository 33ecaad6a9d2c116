import type AppendFile from '../AppendFile/index.js';

/**
 * The file operations that durable storage needs. Tests replace them to make a sync fail, to fill
 * the disk or to stop at a given step. Every method rejects with the system error.
 */
export default abstract class FileOperations {
  /** Creates a folder and its parents, unless it exists, and syncs the parent. */
  abstract createFolder(path: string): Promise<void>;

  /** Reads a whole file; undefined when it does not exist. */
  abstract read(path: string): Promise<Uint8Array | undefined>;

  /** Creates a file, or empties the existing one. */
  abstract create(path: string): Promise<AppendFile>;

  /** Opens an existing file for appending. */
  abstract open(path: string): Promise<AppendFile>;

  /** Renames a file, replacing the target. */
  abstract rename(from: string, to: string): Promise<void>;

  /** Removes a file, if it exists. */
  abstract remove(path: string): Promise<void>;

  /** Resolves once the names in the folder are on the disk. */
  abstract syncFolder(path: string): Promise<void>;
}
