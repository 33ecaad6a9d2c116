import { dirname } from 'node:path';

import type AppendFile from '../../src/process/storage/AppendFile/index.js';
import FileOperations from '../../src/process/storage/FileOperations/index.js';
import { SimulatedFile, crashInode } from '../SimulatedFile/index.js';
import type { Inode } from '../SimulatedFile/index.js';

const createSystemError = (code: string): Error =>
  Object.assign(new Error(`${code}: simulated fault`), { code });

/** In-memory disk on which a crash may lose everything that was not synced. */
class SimulatedDisk extends FileOperations {
  readonly #random: () => number;

  #names = new Map<string, Inode>();

  #syncedNames = new Map<string, Inode>();

  #stepCount = 0;

  /** Step from which every operation fails, as if the VM had stopped. */
  stopAtStep = Infinity;

  /** Bytes that can still be written. */
  freeBytes = Infinity;

  /** Number of syncs that still succeed; later ones fail. */
  remainingSyncs = Infinity;

  /** @param random - decides which unsynced content survives a crash */
  constructor(random: () => number) {
    super();
    this.#random = random;
  }

  /** Number of operations so far. */
  get stepCount(): number {
    return this.#stepCount;
  }

  /** Total length of all files. */
  get usedBytes(): number {
    return [...this.#names.values()].reduce((sum, { content }) => sum + content.length, 0);
  }

  listPaths(): string[] {
    return [...this.#names.keys()];
  }

  readContent(path: string): Buffer {
    return this.#names.get(path)?.content ?? Buffer.alloc(0);
  }

  /** Replaces the content of a file, to simulate corruption of the disk. */
  replaceContent(path: string, content: Buffer): void {
    const inode = { content, synced: content };
    this.#names.set(path, inode);
    this.#syncedNames.set(path, inode);
  }

  /** Simulates a crash and restart: unsynced changes may be lost, and `stopAtStep` is reset. */
  crash(): void {
    const paths = new Set([...this.#names.keys(), ...this.#syncedNames.keys()]);
    const survivors = [...paths].flatMap((path): [string, Inode][] => {
      const names = this.#random() < 0.5 ? this.#names : this.#syncedNames;
      const inode = names.get(path);
      return inode ? [[path, crashInode(inode, this.#random)]] : [];
    });
    this.#names = new Map(survivors);
    this.#syncedNames = new Map(survivors);
    this.stopAtStep = Infinity;
  }

  async createFolder(): Promise<void> {
    this.#runStep('createFolder');
  }

  async read(path: string): Promise<Uint8Array | undefined> {
    this.#runStep('read');
    return this.#names.get(path)?.content;
  }

  async create(path: string): Promise<AppendFile> {
    this.#runStep('create');
    const inode = { content: Buffer.alloc(0), synced: Buffer.alloc(0) };
    this.#names.set(path, inode);
    return this.#openInode(inode);
  }

  async open(path: string): Promise<AppendFile> {
    this.#runStep('open');
    const inode = this.#names.get(path);
    if (!inode) throw createSystemError('ENOENT');
    return this.#openInode(inode);
  }

  async rename(from: string, to: string): Promise<void> {
    this.#runStep('rename');
    const inode = this.#names.get(from);
    if (!inode) throw createSystemError('ENOENT');
    this.#names.delete(from);
    this.#names.set(to, inode);
  }

  async remove(path: string): Promise<void> {
    this.#runStep('remove');
    this.#names.delete(path);
  }

  async syncFolder(path: string): Promise<void> {
    this.#runStep('syncFolder');
    const others = [...this.#syncedNames].filter(([name]) => dirname(name) !== path);
    const current = [...this.#names].filter(([name]) => dirname(name) === path);
    this.#syncedNames = new Map([...others, ...current]);
  }

  #openInode(inode: Inode): AppendFile {
    const runStep = (operation: string, bytes: number): void => this.#runStep(operation, bytes);
    return new SimulatedFile(inode, runStep, this.#random);
  }

  #runStep(operation: string, writtenBytes = 0): void {
    this.#stepCount += 1;
    if (this.#stepCount >= this.stopAtStep) throw createSystemError('EIO');
    if (operation === 'sync' || operation === 'syncFolder') {
      if (this.remainingSyncs <= 0) throw createSystemError('EIO');
      this.remainingSyncs -= 1;
    }
    if (writtenBytes > this.freeBytes) throw createSystemError('ENOSPC');
    this.freeBytes -= writtenBytes;
  }
}

export default SimulatedDisk;
