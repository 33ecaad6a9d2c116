import type {
  TrafficReport,
  WorkspaceUsage,
} from '../../_generated/foxtailvane/v1/distribution_pb.js';
import type { VersionEvidence } from '../../_generated/foxtailvane/v1/rollouts_pb.js';

/** What one node has counted since its start. */
export interface NodeTraffic {
  nodeId: string;
  /** Control VM that the node is, or was last, attached to. */
  memberId: string;
  /** The counts start at zero with each incarnation. */
  incarnation: bigint;
  sequence: number;
  /** Revision of the roll-outs that the node uses; 0 without any. */
  rolloutRevision: number;
  /** Time at which the newest report arrived here, in milliseconds. */
  receivedAtMs: number;
  /** Time until which the node was known to be attached, in milliseconds. */
  seenAtMs: number;
  evidence: readonly VersionEvidence[];
  usage: readonly WorkspaceUsage[];
}

/** Source of the counts of a node; they only grow. */
export interface TrafficSource {
  /**
   * Returns all counts; must be cheap, since it is called several times per second.
   *
   * @param nowMs - present time in milliseconds
   */
  collect: (nowMs: number) => Pick<TrafficReport, 'evidence' | 'usage'>;
}
