import type { FileHandle } from 'node:fs/promises';

import AppendFile from '../../AppendFile/index.js';

/** An append-only file that uses the Node.js file system API. */
export default class NodeAppendFile extends AppendFile {
  readonly #handle: FileHandle;

  constructor(handle: FileHandle) {
    super();
    this.#handle = handle;
  }

  async append(bytes: Uint8Array): Promise<void> {
    await this.#handle.appendFile(bytes);
  }

  async truncate(lengthBytes: number): Promise<void> {
    await this.#handle.truncate(lengthBytes);
  }

  async sync(): Promise<void> {
    await this.#handle.sync();
  }

  async close(): Promise<void> {
    await this.#handle.close();
  }
}
