/** Limits the requests of workspaces at one node to its shares of their quotas. */
import { create } from '@bufbuild/protobuf';

import { WorkspaceUsageSchema } from '../../_generated/foxtailvane/v1/distribution_pb.js';

import type {
  QuotaShares,
  WorkspaceUsage,
} from '../../_generated/foxtailvane/v1/distribution_pb.js';
import type { Workspace } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import type { NodeShare, QuotaBounds } from '../../process/quotas/types.js';

const MS_PER_SECOND = 1_000;
/**
 * Part of its share that a node uses without a confirmation, since control VMs grant up to half as
 * much again while a workspace uses little.
 */
const UNCONFIRMED_SHARE = 0.6;
/** Longest pause that a refused caller is told to make. */
const MAX_RETRY_AFTER_MS = 5_000;

export interface WorkspaceLimiterOptions {
  bounds: QuotaBounds;
  /** Returns the number of known nodes, this one included. */
  countNodes: () => number;
  /** Returns a number in [0, 1). */
  random: () => number;
}

/** Why a request is not admitted. */
export interface QuotaRefusal {
  /** Time until the share allows a request. */
  retryAfterMs: number;
}

interface Bucket {
  offered: number;
  admitted: number;
  /** Admitted requests that certainly did not run. */
  returned: number;
  level: number;
  updatedAtMs: number;
  /** The counts as they were last reported. */
  usage: WorkspaceUsage;
}

/**
 * A token bucket per workspace, filled at the rate of the node's share.
 *
 * Answers quotas that hold over all nodes together while a node often gets less than one request per
 * second of a workspace: a bucket with less than one token admits a request with that probability and
 * is empty then. The sum over many nodes is as exact as with whole tokens, and none has to wait until
 * it has saved one.
 *
 * Workspaces without requests have no bucket and cost nothing.
 */
export default class WorkspaceLimiter {
  readonly #options: WorkspaceLimiterOptions;

  readonly #buckets = new Map<string, Bucket>();

  /** Undefined before the first message of a control VM. */
  #shares: Map<string, NodeShare> | undefined;

  constructor(options: WorkspaceLimiterOptions) {
    this.#options = options;
  }

  /** Uses the shares in a message instead of the former ones. */
  adopt({ shares }: Pick<QuotaShares, 'shares'>, nowMs: number): void {
    const former = this.#shares;
    this.#buckets.forEach((bucket, name) => {
      const share = former?.get(name);
      if (share) WorkspaceLimiter.#refill(bucket, share, nowMs);
    });
    this.#shares = new Map(shares.map((share) => [share.workspace, share]));
  }

  /**
   * Decides about the first attempt of a request and counts it.
   *
   * @param workspace - workspace of the request, of the configuration in force
   * @param nowMs - present time in milliseconds
   * @param isConfirmed - whether this node has lately heard from a control VM that knows the newest
   *   version, so that its shares are of use
   * @returns undefined when the request may run
   */
  admit(workspace: Workspace, nowMs: number, isConfirmed: boolean): QuotaRefusal | undefined {
    if (workspace.ratePerSecond <= 0) return undefined;
    const share = this.#findShare(workspace, isConfirmed);
    const bucket = this.#getBucket(workspace.name, share, nowMs);
    bucket.offered += 1;
    WorkspaceLimiter.#refill(bucket, share, nowMs);
    if (bucket.level < 1 && this.#options.random() >= bucket.level) {
      const missingMs = ((1 - bucket.level) * MS_PER_SECOND) / share.ratePerSecond;
      return { retryAfterMs: Math.ceil(Math.min(MAX_RETRY_AFTER_MS, missingMs)) };
    }
    bucket.level = Math.max(0, bucket.level - 1);
    bucket.admitted += 1;
    return undefined;
  }

  /** Counts a further attempt of a request whose former one may have run; it is not refused. */
  addRepeat(workspace: string): void {
    const bucket = this.#buckets.get(workspace);
    if (!bucket) return;
    bucket.level = Math.max(0, bucket.level - 1);
    bucket.admitted += 1;
  }

  /** Takes the token of an admitted request back that certainly reached no server. */
  giveBack(workspace: string): void {
    const bucket = this.#buckets.get(workspace);
    if (!bucket) return;
    bucket.returned += 1;
    bucket.level += 1;
  }

  /** Returns the counts of all workspaces, for the report of this node. */
  collectUsage(): WorkspaceUsage[] {
    return [...this.#buckets.values()].map(({ usage, offered, admitted, returned }) =>
      Object.assign(usage, {
        offered: BigInt(offered),
        admitted: BigInt(admitted),
        returned: BigInt(returned),
      }),
    );
  }

  #getBucket(name: string, share: NodeShare, nowMs: number): Bucket {
    const known = this.#buckets.get(name);
    if (known) return known;
    const bucket = {
      offered: 0,
      admitted: 0,
      returned: 0,
      level: share.burst,
      updatedAtMs: nowMs,
      usage: create(WorkspaceUsageSchema, { workspace: name }),
    };
    this.#buckets.set(name, bucket);
    return bucket;
  }

  static #refill(target: Bucket, share: NodeShare, nowMs: number): void {
    const bucket = target;
    const elapsedMs = Math.max(0, nowMs - bucket.updatedAtMs);
    const earned = (elapsedMs * share.ratePerSecond) / MS_PER_SECOND;
    bucket.level = Math.min(share.burst, bucket.level + earned);
    bucket.updatedAtMs = nowMs;
  }

  #findShare(workspace: Workspace, isConfirmed: boolean): NodeShare {
    const share = this.#shares?.get(workspace.name) ?? this.#createDefault(workspace);
    // A version with a lower quota may arrive before the shares that follow from it.
    const ratePerSecond = Math.min(share.ratePerSecond, workspace.ratePerSecond * 2);
    return {
      ...share,
      ratePerSecond: isConfirmed ? ratePerSecond : ratePerSecond * UNCONFIRMED_SHARE,
    };
  }

  /**
   * Small quotas are not divided while they are little used: the slack covers what all nodes admit
   * until they get shares. Of a larger one a node uses an even part until it gets its share.
   */
  #createDefault({ name, ratePerSecond, burst }: Workspace): NodeShare {
    if (ratePerSecond <= this.#options.bounds.slack) {
      return { workspace: name, ratePerSecond, burst: Math.max(1, burst) };
    }
    const part = 1 / Math.max(1, this.#options.countNodes());
    return {
      workspace: name,
      ratePerSecond: ratePerSecond * part,
      burst: burst * part,
    };
  }
}
