import { create } from '@bufbuild/protobuf';

import { TrafficReportSchema } from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import { evidenceKey, usageKey } from '../../../process/trafficReports/_lib/entryKeys.js';

import type {
  TrafficReport,
  WorkspaceUsage,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import type { VersionEvidence } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { NodeLinkParts } from '../NodeLink/types.js';
import type { OwnRecord } from './OwnRecord.js';

/** Numbers the reports of a node over all its streams. */
export interface ReportNumbers {
  sequence: number;
}

/** Dependencies of the reporter, shared by all streams of a link. */
export interface ReporterParts {
  parts: Pick<NodeLinkParts, 'nodeId' | 'trafficSource' | 'rolloutHolder'>;
  ownRecord: Pick<OwnRecord, 'current'>;
  numbers: ReportNumbers;
}

// The counts of an entry only grow, so their sum changes whenever one of them does.
const sumEvidence = ({ requests, failures, durationCounts }: VersionEvidence): number =>
  durationCounts.reduce((sum, count) => sum + count, Number(requests) + Number(failures));

const sumUsage = ({ offered, admitted, returned }: WorkspaceUsage): number =>
  Number(offered + admitted + returned);

/** Selects the counts to report on one stream: all of them first, then those that changed. */
export default class TrafficReporter {
  readonly #parts: ReporterParts;

  readonly #sentEvidence = new Map<string, number>();

  readonly #sentUsage = new Map<string, number>();

  #sentRevision = 0;

  #incarnation: bigint | undefined;

  constructor(parts: ReporterParts) {
    this.#parts = parts;
  }

  /**
   * Returns the next report; undefined when nothing has changed since the last one.
   *
   * @param nowMs - present time in milliseconds
   */
  collect(nowMs: number): TrafficReport | undefined {
    const { parts, ownRecord, numbers } = this.#parts;
    this.#startIncarnation(ownRecord.current.incarnation);
    const counts = parts.trafficSource?.collect(nowMs) ?? { evidence: [], usage: [] };
    const evidence = counts.evidence.filter((entry) =>
      this.#markSent(this.#sentEvidence, evidenceKey(entry), sumEvidence(entry)),
    );
    const usage = counts.usage.filter((entry) =>
      this.#markSent(this.#sentUsage, usageKey(entry), sumUsage(entry)),
    );
    const rolloutRevision = parts.rolloutHolder?.current()?.revision ?? 0;
    const isUnchanged = rolloutRevision === this.#sentRevision;
    if (isUnchanged && evidence.length === 0 && usage.length === 0) return undefined;
    this.#sentRevision = rolloutRevision;
    numbers.sequence += 1;
    const { incarnation } = ownRecord.current;
    const { sequence } = numbers;
    const { nodeId } = parts;
    return create(TrafficReportSchema, {
      nodeId,
      incarnation,
      sequence,
      evidence,
      usage,
      rolloutRevision,
    });
  }

  // A control VM drops the entries of the former incarnation.
  #startIncarnation(incarnation: bigint): void {
    if (this.#incarnation === incarnation) return;
    this.#incarnation = incarnation;
    this.#sentEvidence.clear();
    this.#sentUsage.clear();
    this.#sentRevision = 0;
  }

  #markSent(sent: Map<string, number>, key: string, sum: number): boolean {
    if (sent.get(key) === sum) return false;
    sent.set(key, sum);
    return true;
  }
}
