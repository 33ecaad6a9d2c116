import { MemberRole } from '../../ControlLog/index.js';
import type { MemberStatus } from '../../ControlLog/index.js';
import type { Member, Membership } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type { Leadership } from '../Leadership/index.js';
import type { Replica } from '../Replica/index.js';

const findRole = (replica: Replica, member: Member): MemberRole => {
  if (member.memberId === replica.memberId) return replica.role;
  if (member.memberId === replica.leaderId) return MemberRole.Leader;
  return member.isVoter ? MemberRole.Follower : MemberRole.NonVoter;
};

/**
 * Returns the newest membership that cannot be lost with this member, or that of its log if this
 * member does not lead, since a restarted one may not have applied any.
 */
const findReportedMembership = (
  replica: Replica,
  leadership: Pick<Leadership, 'isReady'> | undefined,
): Membership => (leadership?.isReady ? replica.committedMembership : replica.membership);

/**
 * Returns the status of all members as seen by this member. Only the leader tracks the progress and
 * reachability of the others.
 *
 * @param replica - this member
 * @param leadership - the term that this member leads, if any
 * @param isConfirmed - whether this member has had contact with a leader within the lease
 */
const describeMembers = (
  replica: Replica,
  leadership: Pick<Leadership, 'findPeer' | 'isReady'> | undefined,
  isConfirmed: boolean,
): MemberStatus[] =>
  findReportedMembership(replica, leadership).members.map((member) => {
    const { memberId, diskIdentity, address, dataCentre, isVoter } = member;
    const isSelf = memberId === replica.memberId;
    const peer = leadership?.findPeer(memberId);
    const isConfirmedLeader = isConfirmed && memberId === replica.leaderId;
    return {
      memberId,
      diskIdentity,
      address,
      dataCentre,
      isVoter,
      role: findRole(replica, member),
      matchIndex: isSelf ? replica.durableIndex : (peer?.matchIndex ?? 0),
      isReachable: isSelf || (peer?.isReachable ?? isConfirmedLeader),
    };
  });

export default describeMembers;
