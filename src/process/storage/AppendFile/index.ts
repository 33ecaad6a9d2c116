/** An open file that only grows, as the durable storage writes it. */
export default abstract class AppendFile {
  /** Writes all bytes at the end of the file; rejects with the system error. */
  abstract append(bytes: Uint8Array): Promise<void>;

  /** Cuts the file to a length in bytes. */
  abstract truncate(lengthBytes: number): Promise<void>;

  /** Resolves once the content is on the disk. */
  abstract sync(): Promise<void>;

  abstract close(): Promise<void>;
}
