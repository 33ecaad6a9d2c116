import AppendFile from '../../src/process/storage/AppendFile/index.js';

const SECTOR_BYTES = 512;

/** Counts one operation of the disk; throws when the disk fails or has stopped. */
export type RunStep = (operation: string, writtenBytes: number) => void;

/** Content of a file, and the part of it that a crash leaves intact. */
export interface Inode {
  content: Buffer;
  synced: Buffer;
}

/** Returns what a crash leaves of a file: unsynced sectors may be missing or read as zeros. */
export const crashInode = (inode: Inode, random: () => number): Inode => {
  const { content, synced } = inode;
  const isExtended = content.subarray(0, synced.length).equals(synced);
  if (!isExtended) {
    const kept = random() < 0.5 ? content : synced;
    return { content: kept, synced: kept };
  }
  const addedBytes = Math.floor(random() * (content.length - synced.length + 1));
  const remaining = Buffer.from(content.subarray(0, synced.length + addedBytes));
  const firstSector = Math.floor(synced.length / SECTOR_BYTES);
  const sectorCount = Math.ceil(remaining.length / SECTOR_BYTES) - firstSector;
  Array.from({ length: Math.max(0, sectorCount) }, (_, position) => firstSector + position)
    .filter(() => random() < 0.3)
    .forEach((sector) => {
      const start = Math.max(synced.length, sector * SECTOR_BYTES);
      remaining.fill(0, start, Math.min(remaining.length, (sector + 1) * SECTOR_BYTES));
    });
  return { content: remaining, synced: remaining };
};

/** A file of a simulated disk. */
export class SimulatedFile extends AppendFile {
  readonly #inode: Inode;

  readonly #runStep: RunStep;

  readonly #random: () => number;

  constructor(inode: Inode, runStep: RunStep, random: () => number) {
    super();
    this.#inode = inode;
    this.#runStep = runStep;
    this.#random = random;
  }

  async append(bytes: Uint8Array): Promise<void> {
    try {
      this.#runStep('append', bytes.length);
    } catch (error) {
      const writtenBytes = Math.floor(this.#random() * bytes.length);
      this.#write(bytes.subarray(0, writtenBytes));
      throw error;
    }
    this.#write(bytes);
  }

  async truncate(lengthBytes: number): Promise<void> {
    this.#runStep('truncate', 0);
    this.#inode.content = this.#inode.content.subarray(0, lengthBytes);
  }

  async sync(): Promise<void> {
    this.#runStep('sync', 0);
    this.#inode.synced = this.#inode.content;
  }

  async close(): Promise<void> {
    // Closing a file neither syncs nor discards its content.
  }

  #write(bytes: Uint8Array): void {
    this.#inode.content = Buffer.concat([this.#inode.content, bytes]);
  }
}
