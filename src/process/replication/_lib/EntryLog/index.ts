import { fromBinary } from '@bufbuild/protobuf';

import { LogChangeSchema } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type {
  LogChange,
  Membership,
} from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type { StoredEntry } from '../../../storage/DurableStorage/index.js';

/** A stored entry with its decoded content, which refers to the memory of the payload. */
export interface LogEntry extends StoredEntry {
  change: LogChange;
}

/** Decodes the content of a stored entry. */
export const decodeEntry = (entry: StoredEntry): LogEntry => ({
  ...entry,
  change: fromBinary(LogChangeSchema, entry.payload),
});

/** The in-memory part of the log: the entries that follow the last compacted one. */
export class EntryLog {
  #baseIndex: number;

  #baseTerm: number;

  #entries: LogEntry[];

  /**
   * @param baseIndex - index of the entry before the first one, 0 for none
   * @param baseTerm - term of that entry
   * @param entries - consecutive entries
   */
  constructor(baseIndex: number, baseTerm: number, entries: LogEntry[]) {
    this.#baseIndex = baseIndex;
    this.#baseTerm = baseTerm;
    this.#entries = entries;
  }

  get baseIndex(): number {
    return this.#baseIndex;
  }

  get lastIndex(): number {
    return this.#baseIndex + this.#entries.length;
  }

  get lastTerm(): number {
    return this.#entries.at(-1)?.term ?? this.#baseTerm;
  }

  get length(): number {
    return this.#entries.length;
  }

  entryAt(index: number): LogEntry | undefined {
    return index > this.#baseIndex ? this.#entries[index - this.#baseIndex - 1] : undefined;
  }

  /** Returns the term of an entry; undefined if it was compacted or does not exist. */
  termAt(index: number): number | undefined {
    if (index === this.#baseIndex) return this.#baseTerm;
    return this.entryAt(index)?.term;
  }

  /** Returns the entries from an index on. */
  from(index: number): LogEntry[] {
    return this.#entries.slice(Math.max(0, index - this.#baseIndex - 1));
  }

  /** Returns the entries from an index on, up to `maxBytes` of payload but at least one entry. */
  batchFrom(index: number, maxBytes: number): LogEntry[] {
    const entries = this.from(index);
    let totalBytes = 0;
    const end = entries.findIndex((entry, position) => {
      totalBytes += entry.payload.length;
      return position > 0 && totalBytes > maxBytes;
    });
    return end === -1 ? entries : entries.slice(0, end);
  }

  /** Truncates the log at the index of the first entry, then appends the entries. */
  replaceFrom(entries: LogEntry[]): void {
    const [first] = entries;
    if (!first) return;
    this.#entries.length = first.index - this.#baseIndex - 1;
    this.#entries.push(...entries);
  }

  /** Drops the entries up to an index; ignores an index that is not in the log. */
  compactTo(index: number): void {
    const term = this.termAt(index);
    if (term === undefined || index <= this.#baseIndex) return;
    this.#entries = this.#entries.slice(index - this.#baseIndex);
    this.#baseIndex = index;
    this.#baseTerm = term;
  }

  /** Empties the log, so that it continues after a snapshot. */
  reset(baseIndex: number, baseTerm: number): void {
    this.#baseIndex = baseIndex;
    this.#baseTerm = baseTerm;
    this.#entries = [];
  }

  /** Returns the last accepted version before an index, if it is not compacted. */
  findAcceptedBefore(index: number): LogEntry | undefined {
    return this.#entries.findLast(
      (entry) => entry.index < index && entry.change.change.case === 'accepted',
    );
  }

  /** Returns the newest membership after an index, with the index of its entry. */
  findMembership(afterIndex: number): { index: number; membership: Membership } | undefined {
    const entry = this.from(afterIndex + 1).findLast(
      (candidate) => candidate.change.change.case === 'membership',
    );
    if (entry?.change.change.case !== 'membership') return undefined;
    return { index: entry.index, membership: entry.change.change.value };
  }
}
