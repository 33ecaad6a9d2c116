import AppendFile from '../../src/process/storage/AppendFile/index.js';

/** Called before a file operation; if it rejects, the operation fails with the same error. */
export type BeforeOperation = (operation: string, path: string) => Promise<void> | void;

/** A file whose operations a test can delay or make fail. */
export class FaultyAppendFile extends AppendFile {
  readonly #file: AppendFile;

  readonly #path: string;

  readonly #files: { before: BeforeOperation };

  constructor(file: AppendFile, path: string, files: { before: BeforeOperation }) {
    super();
    this.#file = file;
    this.#path = path;
    this.#files = files;
  }

  async append(bytes: Uint8Array): Promise<void> {
    await this.#files.before('append', this.#path);
    await this.#file.append(bytes);
  }

  async truncate(lengthBytes: number): Promise<void> {
    await this.#files.before('truncate', this.#path);
    await this.#file.truncate(lengthBytes);
  }

  async sync(): Promise<void> {
    await this.#files.before('sync', this.#path);
    await this.#file.sync();
    await this.#files.before('synced', this.#path);
  }

  async close(): Promise<void> {
    await this.#file.close();
  }
}
