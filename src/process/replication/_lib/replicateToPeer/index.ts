import { create } from '@bufbuild/protobuf';

import {
  AppendRequestSchema,
  SnapshotRequestSchema,
} from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import { createLogger } from '../../../log/index.js';
import type { Leadership } from '../Leadership/index.js';
import type PeerProgress from '../PeerProgress/index.js';
import type { Replica } from '../Replica/index.js';
import { encodeEntries } from '../appendedEntries/index.js';

const log = createLogger('replication');

const MAX_BATCH_BYTES = 1024 * 1024;
const SNAPSHOT_CHUNK_BYTES = 256 * 1024;
/** Requests without a response in time after which a peer gets no heartbeats beside the next one. */
const MAX_UNANSWERED = 2;
/** Sequence of heartbeats beside a request, which renew no confirmation at the peer. */
const UNNUMBERED = 0;

/** Fields common to all responses of a peer. */
interface PeerResponse {
  term: number;
  diskIdentity: string;
}

const setReachable = (peer: PeerProgress, isReachable: boolean, reason: string): void => {
  if (peer.isReachable !== isReachable) {
    const message = isReachable ? 'control peer is reachable' : 'control peer is unreachable';
    log.info({ peerId: peer.memberId, address: peer.address, reason }, message);
  }
  Object.assign(peer, {
    isReachable,
    unansweredCount: isReachable ? 0 : peer.unansweredCount + 1,
  });
};

/**
 * Reports whether a response comes from a follower in the term led. Otherwise follows a newer term,
 * or resets the progress of a peer with a new disk identity.
 */
const checkResponse = async (
  leadership: Leadership,
  replica: Replica,
  peer: PeerProgress,
  response: PeerResponse,
): Promise<boolean> => {
  if (response.term > leadership.term) {
    await replica.queue.run(async () => {
      if (response.term > replica.term && !replica.failure) await replica.follow(response.term, '');
    });
    return false;
  }
  if (response.diskIdentity !== peer.diskIdentity) {
    const { memberId: peerId } = peer;
    log.warn(
      { peerId, diskIdentity: response.diskIdentity, expected: peer.diskIdentity },
      'control peer answers with another disk identity; replicating to it as a non-voter',
    );
    peer.reset(response.diskIdentity);
    return false;
  }
  return leadership.isActive && response.term === leadership.term;
};

const recordContact = (leadership: Leadership, peer: PeerProgress, sentAtMs: number): void => {
  Object.assign(peer, { contactMs: Math.max(peer.contactMs, sentAtMs) });
  leadership.handleContact();
};

const needsSnapshot = (replica: Replica, peer: PeerProgress): boolean =>
  peer.nextIndex <= replica.log.baseIndex;

const sendSnapshot = async (
  leadership: Leadership,
  replica: Replica,
  peer: PeerProgress,
): Promise<boolean> => {
  const { lastIndex, lastTerm, payload } = replica.encodeSnapshot();
  const totalBytes = payload.length;
  let offsetBytes = 0;
  let isAccepted = true;
  log.info({ peerId: peer.memberId, lastIndex, totalBytes }, 'sending a snapshot');
  replica.incrementCounter('replication_snapshots_sent_total');
  do {
    const chunk = payload.subarray(offsetBytes, offsetBytes + SNAPSHOT_CHUNK_BYTES);
    const header = replica.createHeader(peer.diskIdentity);
    const sentAtMs = replica.readNowMs();
    const response = await peer.client.installSnapshot(
      create(SnapshotRequestSchema, {
        header,
        lastIndex,
        lastTerm,
        offsetBytes,
        totalBytes,
        chunk,
      }),
      peer.computeTimeoutMs(replica.options.timings),
    );
    if (response.isErr()) {
      setReachable(peer, false, response.error.message);
      return false;
    }
    const isFollower = await checkResponse(leadership, replica, peer, response.value);
    if (isFollower) recordContact(leadership, peer, sentAtMs);
    isAccepted = isFollower && response.value.isAccepted;
    offsetBytes += chunk.length;
  } while (isAccepted && offsetBytes < totalBytes);
  if (isAccepted) {
    Object.assign(peer, { matchIndex: lastIndex, nextIndex: lastIndex + 1 });
    leadership.advanceCommit();
  }
  return isAccepted;
};

const sendHeartbeat = async (
  leadership: Leadership,
  replica: Replica,
  peer: PeerProgress,
): Promise<void> => {
  if (!leadership.isActive || peer.unansweredCount > MAX_UNANSWERED) return;
  const previousIndex = peer.matchIndex;
  const request = create(AppendRequestSchema, {
    header: replica.createHeader(peer.diskIdentity),
    previousIndex,
    previousTerm: replica.log.termAt(previousIndex) ?? 0,
    commitIndex: Math.min(replica.commitIndex, previousIndex),
    sequence: UNNUMBERED,
  });
  const sentAtMs = replica.readNowMs();
  const response = await peer.client.append(request, replica.options.timings.peerTimeoutMs);
  // The request beside it reports a failure.
  if (response.isErr()) return;
  if (await checkResponse(leadership, replica, peer, response.value))
    recordContact(leadership, peer, sentAtMs);
};

/**
 * Sends heartbeats until the response to a request arrives, so that a peer that takes long for it does
 * not start an election meanwhile.
 */
const keepInTouch = async <Value>(
  leadership: Leadership,
  replica: Replica,
  peer: PeerProgress,
  response: Promise<Value>,
): Promise<Value> => {
  const { heartbeatMs } = replica.options.timings;
  const timer = setInterval(() => sendHeartbeat(leadership, replica, peer), heartbeatMs);
  try {
    return await response;
  } finally {
    clearInterval(timer);
  }
};

const sendAppend = async (
  leadership: Leadership,
  replica: Replica,
  peer: PeerProgress,
): Promise<boolean> => {
  // A peer whose next entry is compacted gets a request without entries, to probe its match index.
  const isProbe = needsSnapshot(replica, peer);
  const previousIndex = isProbe ? replica.log.lastIndex : peer.nextIndex - 1;
  const pending = isProbe ? [] : replica.log.batchFrom(peer.nextIndex, MAX_BATCH_BYTES);
  const entries = await encodeEntries(replica.log, pending, peer.acceptsDeltas);
  // The header below must not carry a term that began during the encoding.
  if (!leadership.isActive) return false;
  const sequence = peer.sequence + 1;
  const sentAtMs = replica.readNowMs();
  const { commitIndex } = replica;
  const remainingMs = leadership.isReady ? leadership.leaseUntilMs - sentAtMs : 0;
  const request = create(AppendRequestSchema, {
    header: replica.createHeader(peer.diskIdentity),
    previousIndex,
    previousTerm: replica.log.termAt(previousIndex) ?? 0,
    entries,
    commitIndex,
    sequence,
    answeredSequence: peer.answeredSequence,
    leaseRemainingMs: Math.max(0, Math.floor(remainingMs)),
  });
  Object.assign(peer, { sequence });
  const timeoutMs = peer.computeTimeoutMs(replica.options.timings);
  const response = await keepInTouch(
    leadership,
    replica,
    peer,
    peer.client.append(request, timeoutMs),
  );
  if (response.isErr()) {
    setReachable(peer, false, response.error.message);
    return false;
  }
  setReachable(peer, true, '');
  if (!(await checkResponse(leadership, replica, peer, response.value))) return false;
  recordContact(leadership, peer, sentAtMs);
  const { isAccepted, matchIndex, acceptsDeltas } = response.value;
  Object.assign(peer, { answeredSequence: sequence, nextIndex: matchIndex + 1, acceptsDeltas });
  if (isAccepted) {
    const isCaughtUp = matchIndex >= commitIndex;
    const isNewlyCaughtUp = isCaughtUp && !peer.isCaughtUp;
    const sentCommitIndex = Math.min(commitIndex, matchIndex);
    Object.assign(peer, { matchIndex, sentCommitIndex, isCaughtUp });
    leadership.advanceCommit();
    // Under steady load the peer falls behind again with each commit, so the membership loop is
    // woken here to check for its promotion.
    if (isNewlyCaughtUp) replica.changed.notify();
  }
  return true;
};

const hasPendingUpdate = (replica: Replica, peer: PeerProgress): boolean =>
  peer.nextIndex <= replica.log.lastIndex || peer.sentCommitIndex < replica.commitIndex;

/**
 * Replicates the log to one peer until the leadership ends or the peer is removed, one request at a
 * time: new entries, a heartbeat if there are none, or a snapshot if entries that the peer needs
 * are compacted.
 *
 * @param leadership - the term led
 * @param replica - this member
 * @param peer - progress of the peer; updated
 */
const replicateToPeer = async (
  leadership: Leadership,
  replica: Replica,
  peer: PeerProgress,
): Promise<void> => {
  const { heartbeatMs } = replica.options.timings;
  while (leadership.isActive && !peer.isRemoved) {
    const startedAtMs = replica.readNowMs();
    // An unreachable peer is probed first, since a snapshot is expensive to encode.
    const isSnapshotDue = needsSnapshot(replica, peer) && peer.isReachable;
    const isDone = isSnapshotDue
      ? await sendSnapshot(leadership, replica, peer)
      : await sendAppend(leadership, replica, peer);
    if (leadership.isActive && !(isDone && hasPendingUpdate(replica, peer))) {
      await peer.wake.wait(startedAtMs + heartbeatMs - replica.readNowMs());
    }
  }
};

export default replicateToPeer;
