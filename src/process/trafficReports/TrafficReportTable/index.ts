/** Table of the newest traffic reports of all nodes, on a control VM. */
import { create } from '@bufbuild/protobuf';

import { TrafficReportSchema } from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import { compareStamps } from '../../endpoints/_lib/compareStamps.js';
import { evidenceKey, usageKey } from '../_lib/entryKeys.js';

import type {
  TrafficReport,
  WorkspaceUsage,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import type { VersionEvidence } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { Stamp } from '../../endpoints/_lib/compareStamps.js';
import type { NodeTraffic } from '../types.js';

/** How long the counts of a node that has left are kept, as long as its status. */
const RETENTION_MS = 600_000;

/** Where a report comes from. */
export interface ReportOrigin {
  /** Control VM that the node is attached to. */
  memberId: string;
}

/** Called with the id of a node whose counts changed. */
export type TrafficListener = (nodeId: string) => void;

/** An entry with the sequence of the report that changed it last. */
interface Counted<Entry> {
  entry: Entry;
  sequence: number;
}

interface StoredTraffic extends Stamp {
  memberId: string;
  rolloutRevision: number;
  receivedAtMs: number;
  seenAtMs: number;
  evidence: Map<string, Counted<VersionEvidence>>;
  usage: Map<string, Counted<WorkspaceUsage>>;
  /** What `list` returns of the counts, until the next report. */
  listed: Pick<NodeTraffic, 'evidence' | 'usage'> | undefined;
}

const listEntries = <Entry>(entries: Map<string, Counted<Entry>>): Entry[] =>
  [...entries.values()].map(({ entry }) => entry);

const listChanged = <Entry>(entries: Map<string, Counted<Entry>>, sequence: number): Entry[] =>
  [...entries.values()].filter((counted) => counted.sequence > sequence).map(({ entry }) => entry);

/**
 * Keeps the counts of each node by the newest (incarnation, sequence). Reports of one node may arrive
 * late and by way of several control VMs while the node changes its control VM; counts only grow, so
 * that repeated and outdated reports change nothing.
 */
export class TrafficReportTable {
  readonly #nodes = new Map<string, StoredTraffic>();

  readonly #listeners = new Set<TrafficListener>();

  /**
   * Stores the entries of a report that is newer than the stored one.
   *
   * @param report - must not be modified after the call
   * @param origin - control VM that the node is attached to
   * @param nowMs - present time in milliseconds
   * @returns whether the table changed
   */
  merge(report: TrafficReport, origin: ReportOrigin, nowMs: number): boolean {
    const { nodeId, incarnation, sequence, rolloutRevision } = report;
    const former = this.#nodes.get(nodeId);
    if (former !== undefined && compareStamps(report, former) <= 0) return false;
    const isSameProcess = former?.incarnation === incarnation;
    const evidence = isSameProcess ? former.evidence : new Map();
    const usage = isSameProcess ? former.usage : new Map();
    report.evidence.forEach((entry) => evidence.set(evidenceKey(entry), { entry, sequence }));
    report.usage.forEach((entry) => usage.set(usageKey(entry), { entry, sequence }));
    const { memberId } = origin;
    const times = { receivedAtMs: nowMs, seenAtMs: nowMs };
    const counts = { evidence, usage, listed: undefined };
    const stored = { memberId, incarnation, sequence, rolloutRevision, ...times, ...counts };
    this.#nodes.set(nodeId, stored);
    this.#listeners.forEach((listener) => listener(nodeId));
    return true;
  }

  /** Returns the counts of all nodes. Those that have not changed are the same objects as before. */
  list(): readonly NodeTraffic[] {
    return [...this.#nodes].map(([nodeId, stored]) => {
      const { memberId, incarnation, sequence, rolloutRevision, receivedAtMs, seenAtMs } = stored;
      const times = { receivedAtMs, seenAtMs };
      const origin = { nodeId, memberId, incarnation, sequence, rolloutRevision };
      return { ...origin, ...times, ...TrafficReportTable.#listCounts(stored) };
    });
  }

  static #listCounts(target: StoredTraffic): Pick<NodeTraffic, 'evidence' | 'usage'> {
    const stored = target;
    stored.listed ??= { evidence: listEntries(stored.evidence), usage: listEntries(stored.usage) };
    return stored.listed;
  }

  /** Keeps the counts of a node that is attached to a control VM but has nothing new to report. */
  renew(nodeId: string, nowMs: number): void {
    const stored = this.#nodes.get(nodeId);
    if (stored !== undefined) stored.seenAtMs = nowMs;
  }

  /** Removes the counts of nodes that have left. */
  expire(nowMs: number): void {
    this.#nodes.forEach(({ seenAtMs }, nodeId) => {
      if (seenAtMs + RETENTION_MS <= nowMs) this.#nodes.delete(nodeId);
    });
  }

  /**
   * Returns what has changed since a former report of the node.
   *
   * @param nodeId - id of the node
   * @param since - stamp of the former report; undefined for everything
   * @returns undefined when there is nothing newer
   */
  collectSince(nodeId: string, since: Stamp | undefined): TrafficReport | undefined {
    const stored = this.#nodes.get(nodeId);
    if (stored === undefined) return undefined;
    if (since !== undefined && compareStamps(stored, since) <= 0) return undefined;
    const { incarnation, sequence, rolloutRevision } = stored;
    const isSameProcess = since?.incarnation === incarnation;
    const firstSequence = isSameProcess ? since.sequence : -1;
    return create(TrafficReportSchema, {
      nodeId,
      incarnation,
      sequence,
      rolloutRevision,
      evidence: listChanged(stored.evidence, firstSequence),
      usage: listChanged(stored.usage, firstSequence),
    });
  }

  /**
   * Calls the listener after each change of the counts of a node.
   *
   * @returns a function that removes the listener
   */
  onChanged(listener: TrafficListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
