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
    clusterId: membership.clusterId,
    members: membership.members.map((member) =>
      member.memberId === changed.memberId ? changed : member,
    ),
  });

/** Returns how a member changes when its peer has caught up. */
const findNextMember = (member: Member, peer: PeerProgress): Member | undefined => {
  if (peer.diskIdentity === '') return undefined;
  const { diskIdentity } = peer;
  if (member.diskIdentity !== diskIdentity) {
    return create(MemberSchema, { ...member, diskIdentity, isVoter: false });
  }
  return member.isVoter ? undefined : create(MemberSchema, { ...member, isVoter: true });
};

/**
 * Finds the next step for a member whose disk was lost or is new: first its new identity replaces
 * the lost one as a non-voter, then it becomes a voter. These are two entries, because replacing
 * one voter by another in one step allows two majorities without a common member.
 *
 * @param replica - the leader
 * @param peers - progress by member
 * @returns the membership to append; undefined when there is nothing to change
 */
const findNextMembership = (
  replica: Replica,
  peers: Map<string, PeerProgress>,
): Membership | undefined => {
  const { membership } = replica;
  const changed = membership.members
    .map((member) => {
      const peer = peers.get(member.memberId);
      return peer?.isReachable && peer.isCaughtUp ? findNextMember(member, peer) : undefined;
    })
    .find((member) => member !== undefined);
  return changed && replaceMember(membership, changed);
};

export default findNextMembership;
