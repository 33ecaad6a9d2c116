/** Times and limits of replication, in milliseconds and bytes. */
export interface ReplicationTimings {
  heartbeatMs: number;
  electionTimeoutMinMs: number;
  electionTimeoutMaxMs: number;
  /** By how much the lease is shorter than the shortest election timeout. */
  clockMarginMs: number;
  /** Longest wait for the response of a peer. */
  peerTimeoutMs: number;
  /** Longest time that `propose` takes. */
  proposalTimeoutMs: number;
  /** Silence of a voter after which a non-voter in reserve takes its place. */
  replaceAfterMs: number;
}

export const DEFAULT_TIMINGS: ReplicationTimings = {
  heartbeatMs: 100,
  electionTimeoutMinMs: 600,
  electionTimeoutMaxMs: 1_200,
  clockMarginMs: 150,
  peerTimeoutMs: 600,
  // Covers the loss of a leader: detection and election take under 2 s.
  proposalTimeoutMs: 5_000,
  // Longer than a restart of a control VM, which is cheaper than a change of membership.
  replaceAfterMs: 2_000,
};

export interface ReplicationLimits {
  /** Configurations held; a node that missed more gets a snapshot. */
  maxConfigurations: number;
  /** Applied entries after which the log is compacted. */
  compactAfterEntries: number;
  /** Applied entries kept after a compaction for members that are slightly behind. */
  retainedEntries: number;
  /** Length of the log file after which the log is compacted. */
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
