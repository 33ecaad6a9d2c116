/** Limits the requests of workspaces at one node to its shares of their quotas. */
import { create } from '@bufbuild/protobuf';

import { WorkspaceUsageSchema } from '../../_generated/foxtailvane/v1/distribution_pb.js';
import QuotaReserve from './_lib/QuotaReserve.js';

import type {
  QuotaShares,
  WorkspaceUsage,
} from '../../_generated/foxtailvane/v1/distribution_pb.js';
import type { Workspace } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import type { NodeShare, QuotaBounds } from '../../process/quotas/types.js';
import type { ReserveLimits } from './_lib/QuotaReserve.js';

const MS_PER_SECOND = 1_000;
/**
 * Part of its share that a node uses without a confirmation, since control VMs grant up to half as
 * much again while a workspace uses little.
 */
const UNCONFIRMED_SHARE = 0.6;
/**
 * Time after the last message about shares for which they are used. Control VMs send one at least four
 * times per second; without them, nobody counts what the nodes admit together.
 */
const SHARE_LIFETIME_MS = 550;
/** Pause that a caller is told to make while the reserve is used up: shares may be back by then. */
const RESERVE_RETRY_AFTER_MS = 1_000;
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
  /** Time until the share or the reserve allows a request. */
  retryAfterMs: number;
  /** Whether the node used its reserve, for want of a share that is renewed. */
  isFromReserve: boolean;
}

interface Bucket {
  offered: number;
  admitted: number;
  /** Admitted requests that certainly did not run. */
  returned: number;
  level: number;
  updatedAtMs: number;
  reserve: QuotaReserve;
  /** The counts as they were last reported. */
  usage: WorkspaceUsage;
}

const limitWait = (waitMs: number): number => Math.ceil(Math.min(MAX_RETRY_AFTER_MS, waitMs));

/**
 * A token bucket per workspace, filled at the rate of the node's share.
 *
 * Answers quotas that hold over all nodes together while a node often gets less than one request per
 * second of a workspace: a bucket with less than one token admits a request with that probability and
 * is empty then. The sum over many nodes is as exact as with whole tokens, and none has to wait until
 * it has saved one.
 *
 * Shares are used as long as a control VM renews them. Without that, a node uses its reserve, which
 * `QuotaReserve` describes.
 *
 * Workspaces without requests have no bucket and cost nothing.
 */
export default class WorkspaceLimiter {
  readonly #options: WorkspaceLimiterOptions;

  readonly #buckets = new Map<string, Bucket>();

  /** Undefined before the first message of a control VM. */
  #shares: Map<string, NodeShare> | undefined;

  #renewedAtMs = -Infinity;

  /** Time of the first call. */
  #startedAtMs: number | undefined;

  #firstRequestAtMs: number | undefined;

  /** Nodes that were known when the shares were last renewed: silent ones are forgotten later. */
  #nodeCount = 1;

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
    this.renew(nowMs);
  }

  /** Keeps the shares in use for another while. */
  renew(nowMs: number): void {
    this.#startedAtMs ??= nowMs;
    this.#renewedAtMs = nowMs;
    this.#nodeCount = Math.max(1, this.#options.countNodes());
  }

  /** Ends the use of the shares, because the control VM that renewed them is no longer connected. */
  release(): void {
    this.#renewedAtMs = -Infinity;
  }

  /** Whether a control VM has lately renewed the shares. */
  isRenewed(nowMs: number): boolean {
    return nowMs - this.#renewedAtMs <= SHARE_LIFETIME_MS;
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
    this.#startedAtMs ??= nowMs;
    this.#firstRequestAtMs ??= nowMs;
    const share = this.#findShare(workspace, isConfirmed);
    const bucket = this.#getBucket(workspace, share, nowMs);
    bucket.offered += 1;
    WorkspaceLimiter.#refill(bucket, share, nowMs);
    const limits = this.#createLimits(workspace);
    const isRenewed = this.isRenewed(nowMs);
    bucket.reserve.update(limits, !isRenewed, nowMs);
    if (isRenewed) {
      if (bucket.level < 1 && this.#options.random() >= bucket.level) {
        const missingMs = ((1 - bucket.level) * MS_PER_SECOND) / share.ratePerSecond;
        return { retryAfterMs: limitWait(missingMs), isFromReserve: false };
      }
    } else if (!bucket.reserve.hasRoom) {
      return { retryAfterMs: RESERVE_RETRY_AFTER_MS, isFromReserve: true };
    }
    bucket.reserve.charge();
    bucket.level = Math.max(0, bucket.level - 1);
    bucket.admitted += 1;
    return undefined;
  }

  /** Counts a further attempt of a request whose former one may have run; it is not refused. */
  addRepeat(workspace: string): void {
    const bucket = this.#buckets.get(workspace);
    if (!bucket) return;
    bucket.reserve.charge();
    bucket.level = Math.max(0, bucket.level - 1);
    bucket.admitted += 1;
  }

  /** Takes the token of an admitted request back that certainly reached no server. */
  giveBack(workspace: string): void {
    const bucket = this.#buckets.get(workspace);
    if (!bucket) return;
    bucket.returned += 1;
    bucket.level += 1;
    bucket.reserve.giveBack();
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

  #getBucket(workspace: Workspace, share: NodeShare, nowMs: number): Bucket {
    const { name } = workspace;
    const known = this.#buckets.get(name);
    if (known) return known;
    const { bounds, random } = this.#options;
    const options = {
      bounds,
      random,
      startedAtMs: this.#startedAtMs ?? nowMs,
      firstRequestAtMs: this.#firstRequestAtMs ?? nowMs,
    };
    const bucket = {
      offered: 0,
      admitted: 0,
      returned: 0,
      level: share.burst,
      updatedAtMs: nowMs,
      reserve: new QuotaReserve(options, this.#createLimits(workspace), nowMs),
      usage: create(WorkspaceUsageSchema, { workspace: name }),
    };
    this.#buckets.set(name, bucket);
    return bucket;
  }

  #createLimits({ ratePerSecond, burst }: Workspace): ReserveLimits {
    const nodeCount = Math.max(this.#nodeCount, this.#options.countNodes());
    return { ratePerSecond, burst, nodeCount };
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
