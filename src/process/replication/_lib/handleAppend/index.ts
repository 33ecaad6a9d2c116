import { create } from '@bufbuild/protobuf';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import { AppendResponseSchema } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type {
  AppendRequest,
  AppendResponse,
  PeerHeader,
} from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import { PeerError, PeerErrorCode } from '../../../../connection/replication/PeerError/index.js';
import { createLogger } from '../../../log/index.js';
import type { LogEntry } from '../EntryLog/index.js';
import type { Replica } from '../Replica/index.js';
import { decodeMissingEntries } from '../appendedEntries/index.js';
import checkHeader from '../checkHeader/index.js';

const log = createLogger('replication');

const respond = (
  replica: Replica,
  isAccepted: boolean,
  matchIndex: number,
  acceptsDeltas = true,
): Result<AppendResponse, PeerError> =>
  ok(
    create(AppendResponseSchema, {
      term: replica.term,
      isAccepted,
      matchIndex,
      diskIdentity: replica.diskIdentity,
      acceptsDeltas,
    }),
  );

const reject = (message: string, cause?: unknown): Result<never, PeerError> =>
  err(new PeerError(PeerErrorCode.NotRun, message, cause));

/**
 * Follows the sender of a request as the leader of its term. A member without a cluster first
 * adopts that of the sender.
 */
export const followLeader = async (
  replica: Replica,
  header: PeerHeader,
): Promise<Result<void, PeerError>> => {
  if (replica.clusterId === '') {
    const saved = await replica.saveHardState({ clusterId: header.clusterId });
    if (saved.isErr()) return reject(saved.error.message, saved.error);
  }
  const followed = await replica.follow(header.term, header.memberId);
  if (followed.isErr()) return reject(followed.error.message, followed.error);
  replica.blockVotes();
  return ok(undefined);
};

const appendMissingEntries = async (
  replica: Replica,
  missing: LogEntry[],
): Promise<Result<void, PeerError>> => {
  const firstIndex = missing[0]?.index ?? Infinity;
  if (firstIndex <= replica.commitIndex) {
    log.error(
      { memberId: replica.memberId, index: firstIndex, commitIndex: replica.commitIndex },
      'rejected an append request that conflicts with a committed entry',
    );
    return reject('the request conflicts with a committed entry');
  }
  replica.replaceFrom(missing);
  const persisted = await replica.persist();
  return persisted.mapErr((error) => new PeerError(PeerErrorCode.NotRun, error.message, error));
};

/**
 * Extends the time for which the newest version is known to be current. The leader created the
 * request after it had received the response to `answeredSequence`, so the remaining lease is
 * counted from the time at which that response was sent.
 */
const confirmVersion = (replica: Replica, request: AppendRequest): void => {
  const answer = replica.answeredRequests.find(
    ({ sequence, term }) => sequence === request.answeredSequence && term === replica.term,
  );
  if (!answer || replica.commitIndex < request.commitIndex) return;
  replica.confirmUntil(answer.atMs + request.leaseRemainingMs);
};

const matchesPreviousEntry = (replica: Replica, request: AppendRequest): boolean =>
  request.previousIndex < replica.log.baseIndex ||
  replica.log.termAt(request.previousIndex) === request.previousTerm;

/**
 * Stores entries of the leader and responds once they are synced.
 *
 * @param replica - this member; must be called within its queue
 * @param request - entries or a heartbeat
 */
export const handleAppend = async (
  replica: Replica,
  request: AppendRequest,
): Promise<Result<AppendResponse, PeerError>> => {
  const checked = checkHeader(replica, request.header);
  if (checked.isErr()) return err(checked.error);
  const header = checked.value;
  const isAddressed = header.targetDiskIdentity === replica.diskIdentity;
  if (!isAddressed || header.term < replica.term) return respond(replica, false, 0);
  const followed = await followLeader(replica, header);
  if (followed.isErr()) return err(followed.error);
  if (!matchesPreviousEntry(replica, request)) {
    replica.recordAnsweredRequest(request.sequence);
    // Committed entries match the log of every leader, so the leader can continue after them.
    return respond(replica, false, replica.commitIndex);
  }
  const missing = await decodeMissingEntries(replica.log, request);
  if (missing.isErr()) {
    log.warn(
      { memberId: replica.memberId, previousIndex: request.previousIndex, reason: missing.error },
      'cannot apply a delta; asking the leader for whole entries',
    );
    replica.recordAnsweredRequest(request.sequence);
    return respond(replica, false, request.previousIndex, false);
  }
  const appended = await appendMissingEntries(replica, missing.value);
  if (appended.isErr()) return err(appended.error);
  const matchIndex = request.previousIndex + request.entries.length;
  replica.commitTo(Math.min(request.commitIndex, matchIndex));
  confirmVersion(replica, request);
  // The time spent on the sync must not count towards the election timeout.
  replica.resetElectionDeadline();
  replica.recordAnsweredRequest(request.sequence);
  return respond(replica, true, matchIndex);
};
