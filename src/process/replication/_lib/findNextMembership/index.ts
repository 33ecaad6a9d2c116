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

type Peers = Map<string, PeerProgress>;

const hasCaughtUp = (peer: PeerProgress | undefined): peer is PeerProgress =>
  peer !== undefined && peer.isReachable && peer.isCaughtUp && peer.diskIdentity !== '';

/** Finds a member that has caught up with a new disk; the disk becomes a non-voter. */
const findNewDisk = ({ members }: Membership, peers: Peers): Member | undefined => {
  const renewed = members.flatMap((member) => {
    const peer = peers.get(member.memberId);
    if (!hasCaughtUp(peer) || peer.diskIdentity === member.diskIdentity) return [];
    return [create(MemberSchema, { ...member, diskIdentity: peer.diskIdentity, isVoter: false })];
  });
  return renewed[0];
};

/**
 * Finds the non-voter to promote next: one that has caught up, of the data centre with the fewest
 * voters, so that the loss of a data centre costs as few votes as possible.
 */
const findStandby = ({ members }: Membership, peers: Peers): Member | undefined => {
  const countVoters = (dataCentre: string): number =>
    members.filter((member) => member.isVoter && member.dataCentre === dataCentre).length;
  const [standby] = members
    .filter((member) => {
      const peer = peers.get(member.memberId);
      return !member.isVoter && hasCaughtUp(peer) && peer.diskIdentity === member.diskIdentity;
    })
    .toSorted((left, right) => countVoters(left.dataCentre) - countVoters(right.dataCentre));
  return standby && create(MemberSchema, { ...standby, isVoter: true });
};

/** Raises the number of voters of a cluster that was founded with a lower one. */
const raiseVoterTarget = ({ membership, options }: Replica): Membership | undefined => {
  const voterTarget = options.voterTarget ?? 0;
  const isHigher = membership.voterTarget > 0 && voterTarget > membership.voterTarget;
  return isHigher ? create(MembershipSchema, { ...membership, voterTarget }) : undefined;
};

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
  const standby = findStandby(membership, peers);
  return standby && replaceMember(membership, standby);
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
  const changed =
    findNewDisk(membership, peers) ??
    (hasRoomForVoter(membership) ? findStandby(membership, peers) : undefined);
  if (changed) return replaceMember(membership, changed);
  return raiseVoterTarget(replica) ?? findReplacement(replica, peers, nowMs);
};

export default findNextMembership;
