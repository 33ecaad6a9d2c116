import { create } from '@bufbuild/protobuf';

import { VoteRequestSchema } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type { Member, VoteResponse } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type PeerClient from '../../../../connection/replication/PeerClient/index.js';
import { createLogger } from '../../../log/index.js';
import { MemberRole } from '../../ControlLog/index.js';
import type { Replica } from '../Replica/index.js';
import { computeMajority } from '../quorum/index.js';

const log = createLogger('replication');

export type FindClient = (address: string) => PeerClient;

const requestVote = async (
  replica: Replica,
  member: Member,
  findClient: FindClient,
  options: { term: number; isPreVote: boolean },
): Promise<VoteResponse | undefined> => {
  const header = { ...replica.createHeader(member.diskIdentity), term: options.term };
  const { lastIndex, lastTerm } = replica.log;
  const { isPreVote } = options;
  const request = create(VoteRequestSchema, { header, lastIndex, lastTerm, isPreVote });
  const response = await findClient(member.address).vote(
    request,
    replica.options.timings.peerTimeoutMs,
  );
  return response.unwrapOr(undefined);
};

/** Resolves once a majority has granted its vote, or every request was answered or has failed. */
const collectVotes = (
  replica: Replica,
  findClient: FindClient,
  options: { term: number; isPreVote: boolean },
): Promise<{ isWon: boolean; highestTerm: number }> => {
  const voters = replica.membership.members.filter((member) => member.isVoter);
  const others = voters.filter((member) => member.diskIdentity !== replica.diskIdentity);
  const majority = computeMajority(voters.length);
  let grantedCount = 1;
  let highestTerm = 0;
  return new Promise((resolve) => {
    const resolveIfWon = (): void => {
      if (grantedCount >= majority) resolve({ isWon: true, highestTerm });
    };
    resolveIfWon();
    const requests = others.map(async (member) => {
      const response = await requestVote(replica, member, findClient, options);
      if (!response) return;
      highestTerm = Math.max(highestTerm, response.term);
      if (response.isGranted && response.diskIdentity === member.diskIdentity) grantedCount += 1;
      resolveIfWon();
    });
    Promise.all(requests).then(() => resolve({ isWon: grantedCount >= majority, highestTerm }));
  });
};

/**
 * Starts a new term with this member's vote for itself.
 *
 * @returns the term; undefined if this member is no longer a candidate or its storage failed
 */
const startTerm = (replica: Replica): Promise<number | undefined> =>
  replica.queue.run(async () => {
    if (replica.role !== MemberRole.Candidate || !replica.isVoter) return undefined;
    const term = replica.term + 1;
    const { diskIdentity } = replica;
    const saved = await replica.saveHardState({ term, votedFor: diskIdentity });
    if (saved.isErr()) return undefined;
    replica.clearLeader();
    return term;
  });

const adoptTerm = async (replica: Replica, term: number): Promise<void> => {
  await replica.queue.run(async () => {
    if (term > replica.term && !replica.failure) await replica.follow(term, '');
  });
};

const abandonElection = async (replica: Replica, highestTerm: number): Promise<undefined> => {
  replica.resetElectionDeadline();
  await adoptTerm(replica, highestTerm);
  if (replica.role === MemberRole.Candidate) replica.becomeFollower();
};

/**
 * Runs an election: a pre-vote that changes no state, then a vote in a new term.
 *
 * @param replica - this member, a voter
 * @param findClient - returns the client of a peer
 * @returns the term if the election was won
 */
export const runElection = async (
  replica: Replica,
  findClient: FindClient,
): Promise<number | undefined> => {
  replica.becomeCandidate();
  const startedTerm = replica.term;
  const preVote = await collectVotes(replica, findClient, {
    term: startedTerm + 1,
    isPreVote: true,
  });
  if (!preVote.isWon || replica.term !== startedTerm) {
    const isStillCandidate = replica.role === MemberRole.Candidate && replica.term === startedTerm;
    await abandonElection(replica, preVote.highestTerm);
    if (isStillCandidate) replica.resetPreVoteDeadline();
    return undefined;
  }
  const term = await startTerm(replica);
  if (term === undefined) return undefined;
  log.info({ memberId: replica.memberId, term }, 'starting an election');
  replica.incrementCounter('replication_elections_total');
  const vote = await collectVotes(replica, findClient, { term, isPreVote: false });
  const isWon = vote.isWon && replica.term === term && replica.role === MemberRole.Candidate;
  return isWon ? term : abandonElection(replica, vote.highestTerm);
};
