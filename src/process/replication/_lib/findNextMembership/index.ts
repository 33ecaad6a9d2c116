import { create } from '@bufbuild/protobuf';

import {
  MemberSchema,
  MembershipSchema,
} from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type { Member, Membership } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type PeerProgress from '../PeerProgress/index.js';
import type { Replica } from '../Replica/index.js';

const replaceMember = (membership: Membership, changed: Member): Membership =>
  create(MembershipSchema, {
    ...membership,
    members: membership.members.map((member) =>
      member.memberId === changed.memberId ? changed : member,
    ),
  });

const hasRoomForVoter = ({ members, voterTarget }: Membership, extra = 0): boolean =>
  voterTarget === 0 || members.filter((member) => member.isVoter).length < voterTarget + extra;

/**
 * Returns the change of a member whose peer has caught up: a new disk identity as a non-voter, or
 * the promotion to a voter.
 */
const findNextMember = (
  member: Member,
  peer: PeerProgress,
  membership: Membership,
): Member | undefined => {
  if (peer.diskIdentity === '') return undefined;
  const { diskIdentity } = peer;
  if (member.diskIdentity !== diskIdentity) {
    return create(MemberSchema, { ...member, diskIdentity, isVoter: false });
  }
  const isPromoted = !member.isVoter && hasRoomForVoter(membership);
  return isPromoted ? create(MemberSchema, { ...member, isVoter: true }) : undefined;
};

type Peers = Map<string, PeerProgress>;

/** Reports whether a peer has not answered for `replaceAfterMs`; always false for the leader. */
const isUnresponsive = (replica: Replica, peers: Peers, member: Member, nowMs: number): boolean => {
  const peer = peers.get(member.memberId);
  if (!peer || member.memberId === replica.memberId) return false;
  const lastContactMs = Math.max(peer.contactMs, peer.addedAtMs);
  return nowMs - lastContactMs > replica.options.timings.replaceAfterMs;
};

/**
 * Finds the next step of replacing an unresponsive voter by a non-voter: the non-voter is promoted
 * first, then the unresponsive voter is removed. The latter can join again as a non-voter.
 */
const findReplacement = (replica: Replica, peers: Peers, nowMs: number): Membership | undefined => {
  const { membership } = replica;
  if (membership.voterTarget === 0) return undefined;
  const unresponsive = membership.members.find(
    (member) => member.isVoter && isUnresponsive(replica, peers, member, nowMs),
  );
  if (!unresponsive) return undefined;
  if (!hasRoomForVoter(membership, 1)) {
    const members = membership.members.filter((member) => member !== unresponsive);
    return create(MembershipSchema, { ...membership, members });
  }
  const standby = membership.members.find((member) => {
    const peer = peers.get(member.memberId);
    const isCurrent = peer?.isReachable && peer.isCaughtUp;
    return !member.isVoter && isCurrent && peer.diskIdentity === member.diskIdentity;
  });
  return standby && replaceMember(membership, create(MemberSchema, { ...standby, isVoter: true }));
};

/**
 * Finds the next membership change. A member with a new disk is first added with its new identity
 * as a non-voter, in place of the lost one, and then promoted to a voter. These are two entries,
 * because replacing a voter in one step allows two majorities without a common member. If no member
 * needs that, an unresponsive voter is replaced.
 *
 * @param replica - the leader
 * @param peers - progress by member id
 * @param nowMs - current time on the clock of the replica, in milliseconds
 * @returns the membership to append; undefined when there is nothing to change
 */
const findNextMembership = (
  replica: Replica,
  peers: Peers,
  nowMs: number,
): Membership | undefined => {
  const { membership } = replica;
  const changed = membership.members
    .map((member) => {
      const peer = peers.get(member.memberId);
      return peer?.isReachable && peer.isCaughtUp
        ? findNextMember(member, peer, membership)
        : undefined;
    })
    .find((member) => member !== undefined);
  return changed ? replaceMember(membership, changed) : findReplacement(replica, peers, nowMs);
};

export default findNextMembership;
