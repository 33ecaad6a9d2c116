import type PeerClient from '../../../../connection/replication/PeerClient/index.js';
import Notifier from '../Notifier/index.js';
import { computeQuorumTimeoutMs } from '../timings/index.js';
import type { ReplicationTimings } from '../timings/index.js';

/** Replication progress of one peer, as tracked by the leader. */
export default class PeerProgress {
  readonly memberId: string;

  readonly address: string;

  readonly client: PeerClient;

  /** Notified when a request should be sent before the next heartbeat. */
  readonly wake = new Notifier();

  /** Disk identity of the last response; at first that of the membership. */
  diskIdentity = '';

  matchIndex = 0;

  nextIndex: number;

  /** Highest commit index that an accepted request has told the peer. */
  sentCommitIndex = 0;

  /** Send time of the newest request that the peer answered as a follower. */
  contactMs = -Infinity;

  /** Time at which replication to the peer started. */
  addedAtMs = 0;

  sequence = 0;

  answeredSequence = 0;

  /** Whether the last response allows deltas in the next request. */
  acceptsDeltas = false;

  isReachable = false;

  /** Number of requests since the last one that the peer answered in time. */
  unansweredCount = 0;

  /** Whether the peer held all entries committed at the time of the last accepted request. */
  isCaughtUp = false;

  isRemoved = false;

  constructor(memberId: string, address: string, client: PeerClient, nextIndex: number) {
    this.memberId = memberId;
    this.address = address;
    this.client = client;
    this.nextIndex = nextIndex;
  }

  /**
   * Returns the timeout of the next request, which grows while the peer does not respond: one that is
   * busy could otherwise never answer a request that takes longer than the first timeout.
   *
   * @param timings - the first timeout, and the election timeouts
   */
  computeTimeoutMs(
    timings: Pick<ReplicationTimings, 'peerTimeoutMs' | 'electionTimeoutMaxMs'>,
  ): number {
    const largestMs = Math.max(timings.peerTimeoutMs, computeQuorumTimeoutMs(timings));
    return Math.min(largestMs, timings.peerTimeoutMs * 2 ** this.unansweredCount);
  }

  /** Resets the progress after the peer has answered with another disk identity. */
  reset(diskIdentity: string): void {
    this.diskIdentity = diskIdentity;
    this.matchIndex = 0;
    this.sentCommitIndex = 0;
    this.acceptsDeltas = false;
    this.isCaughtUp = false;
    this.contactMs = -Infinity;
    this.sequence = 0;
    this.answeredSequence = 0;
  }
}
