/** Timeouts and intervals of replication, in milliseconds. */
export interface ReplicationTimings {
  heartbeatMs: number;
  electionTimeoutMinMs: number;
  electionTimeoutMaxMs: number;
  /** Margin by which the lease is shorter than the shortest election timeout. */
  clockMarginMs: number;
  /** Timeout of a request to a peer; doubled up to the quorum timeout while the peer does not respond. */
  peerTimeoutMs: number;
  /** Timeout of `propose`. */
  proposalTimeoutMs: number;
  /** Time without a response of a voter after which a non-voter replaces it. */
  replaceAfterMs: number;
}

export const DEFAULT_TIMINGS: ReplicationTimings = {
  heartbeatMs: 100,
  electionTimeoutMinMs: 600,
  electionTimeoutMaxMs: 1_200,
  clockMarginMs: 150,
  peerTimeoutMs: 600,
  // Long enough to survive the loss of a leader: detection and election take less than 2 s.
  proposalTimeoutMs: 5_000,
  // Longer than a restart of a control VM, which costs less than a membership change.
  replaceAfterMs: 2_000,
};

/** Largest election timeouts without contact to a majority after which a leader steps down. */
const QUORUM_ELECTION_TIMEOUTS = 2;

/**
 * Returns the time without contact to a majority after which a leader steps down.
 *
 * It is longer than the lease: a leader whose followers respond late is better than another election
 * among them, and one that is cut off acknowledges nothing without its lease.
 */
export const computeQuorumTimeoutMs = ({
  electionTimeoutMaxMs,
}: Pick<ReplicationTimings, 'electionTimeoutMaxMs'>): number =>
  QUORUM_ELECTION_TIMEOUTS * electionTimeoutMaxMs;

export interface ReplicationLimits {
  /** Number of configurations kept; a node that missed more versions gets a full snapshot. */
  maxConfigurations: number;
  /** Number of applied entries beyond the retained ones at which the log is compacted. */
  compactAfterEntries: number;
  /** Number of applied entries kept by a compaction, for members that are slightly behind. */
  retainedEntries: number;
  /** Length of the log file at which the log is compacted. */
  compactAfterBytes: number;
  maxConfigurationBytes: number;
}

export const DEFAULT_LIMITS: ReplicationLimits = {
  maxConfigurations: 600,
  compactAfterEntries: 256,
  retainedEntries: 64,
  compactAfterBytes: 16 * 1024 * 1024,
  maxConfigurationBytes: 4 * 1024 * 1024,
};
