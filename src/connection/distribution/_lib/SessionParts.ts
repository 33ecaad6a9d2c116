import { create } from '@bufbuild/protobuf';

import {
  AttachResponseSchema,
  QuotaRenewalSchema,
  QuotaSharesSchema,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import { TRAFFIC_REPORT_INTERVAL_MS } from '../timing.js';

import type {
  AttachResponse,
  QuotaShare,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import type { RolloutSet } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';

/** What a control VM sends for roll-outs and quotas; nothing without them. */
export interface SessionSources {
  /** Returns the roll-outs known here; undefined while they are unknown. */
  readRollouts?: (() => RolloutSet | undefined) | undefined;
  /** Returns all shares of a node, in a stable order; undefined while none can be granted. */
  computeShares?: ((nodeId: string, nowMs: number) => QuotaShare[] | undefined) | undefined;
}

const isSameShare = (left: QuotaShare, right: QuotaShare | undefined): boolean =>
  left.workspace === right?.workspace &&
  left.ratePerSecond === right.ratePerSecond &&
  left.burst === right.burst;

/** Selects the roll-outs and shares to send to one node. */
export default class SessionParts {
  readonly #nodeId: string;

  readonly #sources: SessionSources;

  #sentRevision: number | undefined;

  #sentShares: readonly QuotaShare[] | undefined;

  #shareSequence = 0;

  #areSharesDue = true;

  #sharesCheckedAtMs = -Infinity;

  constructor(nodeId: string, sources: SessionSources) {
    this.#nodeId = nodeId;
    this.#sources = sources;
  }

  /** Schedules a check of the shares, because reports have changed or a heartbeat is due. */
  requestShares(): void {
    this.#areSharesDue = true;
  }

  /** Returns the roll-outs in a message, once after the attach and after each newer revision. */
  collectRollouts(): AttachResponse[] {
    const set = this.#sources.readRollouts?.();
    if (set === undefined || set.revision === this.#sentRevision) return [];
    this.#sentRevision = set.revision;
    return [create(AttachResponseSchema, { kind: { case: 'rollouts', value: set } })];
  }

  /**
   * Returns the shares in a message if they have changed, and a renewal otherwise. The first message
   * on a stream replaces those that the node got from its former control VM.
   *
   * @param nowMs - present time in milliseconds
   */
  collectShares(nowMs: number): AttachResponse[] {
    const { computeShares } = this.#sources;
    const isTooEarly = nowMs - this.#sharesCheckedAtMs < TRAFFIC_REPORT_INTERVAL_MS;
    if (computeShares === undefined || !this.#areSharesDue || isTooEarly) return [];
    this.#areSharesDue = false;
    this.#sharesCheckedAtMs = nowMs;
    const shares = computeShares(this.#nodeId, nowMs);
    if (shares === undefined) return [];
    if (!this.#haveChanged(shares)) {
      const renewal = create(QuotaRenewalSchema);
      return [create(AttachResponseSchema, { kind: { case: 'quotaRenewal', value: renewal } })];
    }
    this.#sentShares = shares;
    this.#shareSequence += 1;
    const value = create(QuotaSharesSchema, { sequence: this.#shareSequence, shares });
    return [create(AttachResponseSchema, { kind: { case: 'quotaShares', value } })];
  }

  #haveChanged(shares: readonly QuotaShare[]): boolean {
    const sent = this.#sentShares;
    if (sent?.length !== shares.length) return true;
    return shares.some((share, index) => !isSameShare(share, sent[index]));
  }
}
