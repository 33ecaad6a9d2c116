/** Entries as they are sent to a peer: whole, or as a delta to an entry that the peer has. */
import { create, toBinary } from '@bufbuild/protobuf';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import {
  AppendedEntrySchema,
  LogChangeSchema,
} from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type {
  AcceptedVersion,
  AppendRequest,
  AppendedEntry,
  VersionDelta,
} from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import { decodeEntry } from '../EntryLog/index.js';
import type { EntryLog, LogEntry } from '../EntryLog/index.js';
import { applyVersionDelta, createVersionDelta } from '../versionDelta/index.js';

interface EntryDelta {
  baseIndex: number;
  delta: Promise<VersionDelta | undefined>;
}

/** Deltas by entry, since each entry is sent to several peers. */
const deltasByEntry = new WeakMap<LogEntry, EntryDelta>();

const readAccepted = (entry: LogEntry | undefined): AcceptedVersion | undefined =>
  entry?.change.change.case === 'accepted' ? entry.change.change.value : undefined;

const findDelta = (log: EntryLog, entry: LogEntry): EntryDelta | undefined => {
  const target = readAccepted(entry);
  const baseEntry = target && log.findAcceptedBefore(entry.index);
  const base = readAccepted(baseEntry);
  if (!target || !baseEntry || !base) return undefined;
  const known = deltasByEntry.get(entry);
  if (known?.baseIndex === baseEntry.index) return known;
  const created = { baseIndex: baseEntry.index, delta: createVersionDelta(base, target) };
  deltasByEntry.set(entry, created);
  return created;
};

const encodeEntry = async (log: EntryLog, entry: LogEntry): Promise<AppendedEntry> => {
  const { term, payload } = entry;
  const found = findDelta(log, entry);
  const delta = await found?.delta;
  if (!found || !delta) return create(AppendedEntrySchema, { term, payload });
  return create(AppendedEntrySchema, { term, delta, baseIndex: found.baseIndex });
};

/**
 * Encodes entries for a peer. Versions are sent as deltas to the version before them in the log: a
 * configuration of many routes changes by a few of them.
 *
 * @param log - log of the leader
 * @param entries - consecutive entries of the log
 * @param acceptsDeltas - whether the peer can apply deltas
 */
export const encodeEntries = async (
  log: EntryLog,
  entries: LogEntry[],
  acceptsDeltas: boolean,
): Promise<AppendedEntry[]> =>
  acceptsDeltas
    ? Promise.all(entries.map((entry) => encodeEntry(log, entry)))
    : entries.map(({ term, payload }) => create(AppendedEntrySchema, { term, payload }));

const decodePayload = async (
  { payload, delta }: AppendedEntry,
  base: LogEntry | undefined,
): Promise<Result<Uint8Array, string>> => {
  if (!delta) return ok(payload);
  const accepted = readAccepted(base);
  if (!accepted) return err('the base of the delta is not in the log');
  const applied = await applyVersionDelta(accepted, delta);
  return applied.map((value) =>
    toBinary(LogChangeSchema, create(LogChangeSchema, { change: { case: 'accepted', value } })),
  );
};

/**
 * Decodes the entries of a request that this member lacks.
 *
 * @param log - log of this member, which agrees with that of the leader up to the previous entry
 * @param request - the request of the leader
 * @returns the entries from the first missing one on; or why a delta among them cannot be applied
 */
export const decodeMissingEntries = async (
  log: EntryLog,
  { previousIndex, entries }: AppendRequest,
): Promise<Result<LogEntry[], string>> => {
  const firstMissing = entries.findIndex(({ term }, position) => {
    const index = previousIndex + 1 + position;
    return index > log.baseIndex && log.termAt(index) !== term;
  });
  if (firstMissing === -1) return ok([]);
  const firstIndex = previousIndex + 1 + firstMissing;
  const decoded: LogEntry[] = [];
  // Entries from the first missing one on may be replaced by the request, so they are no base.
  const findBase = (index: number): LogEntry | undefined =>
    index < firstIndex ? log.entryAt(index) : decoded[index - firstIndex];
  const decodeNext = async (remaining: AppendedEntry[]): Promise<Result<LogEntry[], string>> => {
    const [next, ...rest] = remaining;
    if (!next) return ok(decoded);
    const payload = await decodePayload(next, findBase(next.baseIndex));
    if (payload.isErr()) return err(payload.error);
    const index = firstIndex + decoded.length;
    decoded.push(decodeEntry({ index, term: next.term, payload: payload.value }));
    return decodeNext(rest);
  };
  return decodeNext(entries.slice(firstMissing));
};
