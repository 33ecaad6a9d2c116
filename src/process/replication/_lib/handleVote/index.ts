import { create } from '@bufbuild/protobuf';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import { VoteResponseSchema } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type {
  PeerHeader,
  VoteRequest,
  VoteResponse,
} from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import { PeerError, PeerErrorCode } from '../../../../connection/replication/PeerError/index.js';
import type { Replica } from '../Replica/index.js';
import checkHeader from '../checkHeader/index.js';

const isUpToDate = (replica: Replica, request: VoteRequest): boolean => {
  const { lastTerm, lastIndex } = replica.log;
  if (request.lastTerm !== lastTerm) return request.lastTerm > lastTerm;
  return request.lastIndex >= lastIndex;
};

/** Reports whether votes are rejected because a leader may still hold a lease. */
const areVotesBlocked = (replica: Replica): boolean => replica.readNowMs() < replica.noVoteUntilMs;

const canVoteFor = (replica: Replica, header: PeerHeader): boolean =>
  header.term > replica.term ||
  (header.term === replica.term &&
    (replica.votedFor === '' || replica.votedFor === header.diskIdentity));

const respond = (replica: Replica, isGranted: boolean): Result<VoteResponse, PeerError> =>
  ok(
    create(VoteResponseSchema, {
      term: replica.term,
      isGranted,
      diskIdentity: replica.diskIdentity,
    }),
  );

const convertFailure = (error: Error): Result<never, PeerError> =>
  err(new PeerError(PeerErrorCode.NotRun, error.message, error));

/**
 * Handles the request of a candidate. A granted vote is stored before the response is sent.
 *
 * @param replica - this member; must be called within its queue
 * @param request - vote or pre-vote
 */
const handleVote = async (
  replica: Replica,
  request: VoteRequest,
): Promise<Result<VoteResponse, PeerError>> => {
  const checked = checkHeader(replica, request.header);
  if (checked.isErr()) return err(checked.error);
  const header = checked.value;
  const isAddressed = header.targetDiskIdentity === replica.diskIdentity;
  // While votes are blocked, a higher term is ignored too, so that a partitioned candidate cannot
  // depose the leader.
  if (!isAddressed || areVotesBlocked(replica)) return respond(replica, false);
  const isGranted = canVoteFor(replica, header) && isUpToDate(replica, request);
  if (request.isPreVote) {
    if (isGranted) replica.deferElection();
    return respond(replica, isGranted);
  }
  if (header.term > replica.term) {
    const followed = await replica.follow(header.term, '');
    if (followed.isErr()) return convertFailure(followed.error);
  }
  if (isGranted && replica.votedFor !== header.diskIdentity) {
    const { clusterId } = header;
    const saved = await replica.saveHardState({ votedFor: header.diskIdentity, clusterId });
    if (saved.isErr()) return convertFailure(saved.error);
  }
  if (isGranted) replica.blockVotes();
  return respond(replica, isGranted);
};

export default handleVote;
