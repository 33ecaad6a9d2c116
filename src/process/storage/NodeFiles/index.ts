import { mkdir, open, readFile, rename, rm } from 'node:fs/promises';
import { dirname } from 'node:path';

import type AppendFile from '../AppendFile/index.js';
import FileOperations from '../FileOperations/index.js';
import NodeAppendFile from '../_lib/NodeAppendFile/index.js';

const isMissing = (error: unknown): boolean =>
  error instanceof Error && 'code' in error && error.code === 'ENOENT';

/** File operations that use the Node.js file system API. */
export default class NodeFiles extends FileOperations {
  async createFolder(path: string): Promise<void> {
    await mkdir(path, { recursive: true });
    await this.syncFolder(dirname(path));
  }

  async read(path: string): Promise<Uint8Array | undefined> {
    try {
      return await readFile(path);
    } catch (error) {
      if (isMissing(error)) return undefined;
      throw error;
    }
  }

  async create(path: string): Promise<AppendFile> {
    return new NodeAppendFile(await open(path, 'w'));
  }

  async open(path: string): Promise<AppendFile> {
    return new NodeAppendFile(await open(path, 'a'));
  }

  async rename(from: string, to: string): Promise<void> {
    await rename(from, to);
  }

  async remove(path: string): Promise<void> {
    await rm(path, { force: true });
  }

  async syncFolder(path: string): Promise<void> {
    const handle = await open(path, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }
}
