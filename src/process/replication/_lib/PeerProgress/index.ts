import type PeerClient from '../../../../connection/replication/PeerClient/index.js';
import Notifier from '../Notifier/index.js';

/** What a leader knows of one peer. */
export default class PeerProgress {
  readonly memberId: string;

  readonly address: string;

  readonly client: PeerClient;

  /** Notified when there is something to send before the next heartbeat. */
  readonly wake = new Notifier();

  /** Disk identity that the peer answers with; empty before the first response. */
  diskIdentity = '';

  matchIndex = 0;

  nextIndex: number;

  /** Commit index of the last accepted request. */
  sentCommitIndex = 0;

  /** When the last request that the peer answered as follower was sent. */
  contactMs = -Infinity;

  /** When the leader began to replicate to the peer. */
  addedAtMs = 0;

  sequence = 0;

  answeredSequence = 0;

  isReachable = false;

  /** Whether the peer held all that was committed when the last accepted request was sent. */
  isCaughtUp = false;

  isRemoved = false;

  constructor(memberId: string, address: string, client: PeerClient, nextIndex: number) {
    this.memberId = memberId;
    this.address = address;
    this.client = client;
    this.nextIndex = nextIndex;
  }

  /** Starts anew with a peer that answers with another disk identity. */
  restart(diskIdentity: string): void {
    this.diskIdentity = diskIdentity;
    this.matchIndex = 0;
    this.sentCommitIndex = 0;
    this.isCaughtUp = false;
    this.contactMs = -Infinity;
    this.sequence = 0;
    this.answeredSequence = 0;
  }
}
