import type AppendFile from '../../src/process/storage/AppendFile/index.js';
import FileOperations from '../../src/process/storage/FileOperations/index.js';
import { FaultyAppendFile } from '../FaultyAppendFile/index.js';
import type { BeforeOperation } from '../FaultyAppendFile/index.js';

/** File operations that a test can delay or make fail. */
export default class FaultyFiles extends FileOperations {
  /** Replaced by tests to inject faults. Called with `synced` after a successful sync. */
  before: BeforeOperation = () => undefined;

  readonly #files: FileOperations;

  /** @param files - operations that are called unless a fault is injected */
  constructor(files: FileOperations) {
    super();
    this.#files = files;
  }

  async createFolder(path: string): Promise<void> {
    await this.before('createFolder', path);
    await this.#files.createFolder(path);
  }

  async read(path: string): Promise<Uint8Array | undefined> {
    await this.before('read', path);
    return this.#files.read(path);
  }

  async create(path: string): Promise<AppendFile> {
    await this.before('create', path);
    return new FaultyAppendFile(await this.#files.create(path), path, this);
  }

  async open(path: string): Promise<AppendFile> {
    await this.before('open', path);
    return new FaultyAppendFile(await this.#files.open(path), path, this);
  }

  async rename(from: string, to: string): Promise<void> {
    await this.before('rename', to);
    await this.#files.rename(from, to);
  }

  async remove(path: string): Promise<void> {
    await this.before('remove', path);
    await this.#files.remove(path);
  }

  async syncFolder(path: string): Promise<void> {
    await this.before('syncFolder', path);
    await this.#files.syncFolder(path);
  }
}
