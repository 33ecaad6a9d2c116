/** Turns the cumulative counts of all nodes into what was added since the last call. */
import type { VersionEvidence } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import { createTally } from '../_lib/tally/index.js';
import type { Tally } from '../_lib/tally/index.js';

/** The newest report of one node, as `TrafficReportTable` lists it. */
export interface NodeCounts {
  nodeId: string;
  /** Counts start at zero with each incarnation. */
  incarnation: bigint;
  /** Revision of the roll-outs that the node uses; 0 without any. */
  rolloutRevision: number;
  evidence: readonly VersionEvidence[];
}

/** Source of the reports of all nodes. */
export interface TrafficReports {
  list: () => readonly NodeCounts[];
  onChanged: (listener: (nodeId: string) => void) => () => void;
}

/** What was added to the counts of one service, version and route. */
export interface EvidenceIncrement extends Tally {
  service: string;
  softwareVersion: string;
  route: string;
}

interface SeenNode {
  incarnation: bigint;
  entries: Map<string, VersionEvidence>;
}

const toKey = ({ service, softwareVersion, route }: VersionEvidence): string =>
  `${service}\n${softwareVersion}\n${route}`;

const subtract = (newer: number | bigint, older: number | bigint | undefined): number =>
  Math.max(0, Number(newer) - Number(older ?? 0));

const createIncrement = (
  entry: VersionEvidence,
  previous: VersionEvidence | undefined,
): EvidenceIncrement => ({
  ...createTally(),
  service: entry.service,
  softwareVersion: entry.softwareVersion,
  route: entry.route,
  requests: subtract(entry.requests, previous?.requests),
  failures: subtract(entry.failures, previous?.failures),
  durationCounts: entry.durationCounts.map((count, bucket) =>
    subtract(count, previous?.durationCounts[bucket]),
  ),
});

/**
 * Takes differences by node and incarnation, so that counts of earlier roll-outs and of processes
 * that restarted are not taken for new ones. Only nodes that have reported since are read again.
 */
export class EvidenceTracker {
  readonly #reports: TrafficReports;

  readonly #seen = new Map<string, SeenNode>();

  readonly #changedNodeIds = new Set<string>();

  #unsubscribe: (() => void) | undefined;

  constructor(reports: TrafficReports) {
    this.#reports = reports;
  }

  get isStarted(): boolean {
    return this.#unsubscribe !== undefined;
  }

  /** Takes the present counts as the base of the next ones. */
  start(): void {
    if (this.isStarted) return;
    this.#unsubscribe = this.#reports.onChanged((nodeId) => this.#changedNodeIds.add(nodeId));
    this.#reports.list().forEach((node) => this.#remember(node));
  }

  /** Forgets all counts. */
  stop(): void {
    this.#unsubscribe?.();
    this.#unsubscribe = undefined;
    this.#seen.clear();
    this.#changedNodeIds.clear();
  }

  /**
   * Returns what nodes have counted since the last call or the start.
   *
   * @param isLearning - whether the first counts of a node are taken as its base, because they may be
   *   old: after the start of this process, which has not had the reports before
   */
  collect(isLearning: boolean): EvidenceIncrement[] {
    if (this.#changedNodeIds.size === 0) return [];
    const changed = this.#reports.list().filter(({ nodeId }) => this.#changedNodeIds.has(nodeId));
    this.#changedNodeIds.clear();
    return changed.flatMap((node) => {
      const previous = this.#seen.get(node.nodeId);
      this.#remember(node);
      if (previous === undefined && isLearning) return [];
      const base = previous?.incarnation === node.incarnation ? previous.entries : undefined;
      return node.evidence
        .map((entry) => ({ entry, before: base?.get(toKey(entry)) }))
        .filter(({ entry, before }) => entry !== before)
        .map(({ entry, before }) => createIncrement(entry, before));
    });
  }

  #remember({ nodeId, incarnation, evidence }: NodeCounts): void {
    const entries = new Map(evidence.map((entry) => [toKey(entry), entry]));
    this.#seen.set(nodeId, { incarnation, entries });
  }
}
