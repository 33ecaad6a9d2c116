/** What the callers of all nodes together may use, as stated in the settings. */
export interface QuotaBounds {
  /** Length of the window over which arrivals are counted, in seconds. */
  windowS: number;
  /** Share by which arrivals within a window may exceed rate x window + burst. */
  overage: number;
  /** Arrivals within a window that may come in addition. */
  slack: number;
}

/** Quota of one workspace over all nodes; requests per second and requests. */
export interface Quota {
  name: string;
  /** 0 means no limit. */
  ratePerSecond: number;
  burst: number;
}

/** Requests of one workspace that one node has counted since its start. */
export interface UsageCount {
  workspace: string;
  offered: bigint;
  admitted: bigint;
  /** Admitted requests that certainly did not run. */
  returned: bigint;
}

/** Counts of one node, as the newest report states them. */
export interface NodeUsage {
  nodeId: string;
  /** Control VM that the node is attached to. */
  memberId: string;
  incarnation: bigint;
  /** A changed entry must be a new object: one that is the same as before is not read again. */
  usage: readonly UsageCount[];
  /** Time until which the node was known to be attached, in milliseconds. */
  seenAtMs: number;
}

/** Part of a quota that one node may use. */
export interface NodeShare {
  workspace: string;
  ratePerSecond: number;
  /** Requests that may come at once; below 1, the probability that a single request is admitted. */
  burst: number;
}
