/** An open file that the durable storage appends to. */
export default abstract class AppendFile {
  /** Writes all bytes at the end of the file; rejects with the system error. */
  abstract append(bytes: Uint8Array): Promise<void>;

  /** Truncates the file to a length in bytes. */
  abstract truncate(lengthBytes: number): Promise<void>;

  /** Syncs the file; resolves once its content is on the disk. */
  abstract sync(): Promise<void>;

  abstract close(): Promise<void>;
}
