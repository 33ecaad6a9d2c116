import { create } from '@bufbuild/protobuf';

import {
  JoinRequestSchema,
  JoinResponseSchema,
  MemberSchema,
} from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type {
  JoinRequest,
  JoinResponse,
} from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import { createLogger } from '../../../log/index.js';
import type { ReplicationContext } from '../proposeChange/index.js';

const log = createLogger('replication');

/** Time without contact to a leader after which a member requests to join, in election timeouts. */
const JOIN_TIMEOUTS = 2;

const FORWARD_TIMEOUT_MS = 500;

/**
 * Reports whether this member should request to join: its disk has never belonged to a cluster, or
 * it has had no contact to a leader for some election timeouts.
 */
export const shouldRequestJoin = (
  { replica, findLeadership }: ReplicationContext,
  nowMs: number,
): boolean => {
  if (findLeadership() || replica.failure) return false;
  const { electionTimeoutMinMs } = replica.options.timings;
  return replica.isUnused || nowMs > replica.noVoteUntilMs + JOIN_TIMEOUTS * electionTimeoutMinMs;
};

/**
 * Sends join requests to other control VMs. The leader adds an unknown member as a non-voter and
 * starts to replicate to it.
 *
 * @param context - this member
 * @param address - `host:port` of this member
 * @param contacts - addresses of control VMs from the settings
 */
export const requestJoin = async (
  { replica, findClient }: ReplicationContext,
  address: string,
  contacts: string[],
): Promise<void> => {
  const { memberId, diskIdentity, options } = replica;
  const { dataCentre, timings } = options;
  const member = create(MemberSchema, { memberId, diskIdentity, address, dataCentre });
  const known = replica.membership.members.map((other) => other.address);
  const targets = [...new Set([...contacts, ...known])].filter((target) => target !== address);
  const request = create(JoinRequestSchema, { member });
  const responses = await Promise.all(
    targets.map((target) => findClient(target).join(request, timings.peerTimeoutMs)),
  );
  const isAdded = responses.some((answer) => answer.isOk() && answer.value.isMember);
  if (isAdded && replica.isUnused) log.info({ memberId, address }, 'added to the cluster');
};

/**
 * Handles a join request: the leader adds the member, other members forward the request to it.
 *
 * @param context - this member
 * @param request - describes the member that joins
 */
export const handleJoin = async (
  { replica, findClient, findLeadership }: ReplicationContext,
  request: JoinRequest,
): Promise<JoinResponse> => {
  const { members } = replica.membership;
  const { clusterId } = replica;
  const rejection = create(JoinResponseSchema, { isMember: false, clusterId, members });
  const { member } = request;
  if (!member || replica.failure) return rejection;
  const leadership = findLeadership();
  if (leadership) {
    const isMember = leadership.addMember(member);
    log.info(
      { memberId: member.memberId, address: member.address, isMember },
      'received a join request',
    );
    return create(JoinResponseSchema, { isMember, clusterId, members });
  }
  const leader = members.find(({ memberId }) => memberId === replica.leaderId);
  if (request.isForwarded || !leader || leader.memberId === replica.memberId) return rejection;
  const forwarded = create(JoinRequestSchema, { member, isForwarded: true });
  const response = await findClient(leader.address).join(forwarded, FORWARD_TIMEOUT_MS);
  return response.unwrapOr(rejection);
};
