import { randomUUID } from 'node:crypto';

import { create, toBinary } from '@bufbuild/protobuf';

import {
  DescribeRequestSchema,
  LogChangeSchema,
  MemberSchema,
  MembershipSchema,
} from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type { Member } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import { createLogger } from '../../../log/index.js';
import { decodeEntry } from '../EntryLog/index.js';
import type { Replica } from '../Replica/index.js';
import type { FindClient } from '../campaign/index.js';

const log = createLogger('replication');

/** A control VM as the settings name it. */
export interface InitialMember {
  memberId: string;
  /** host:port of its `listen` listener. */
  address: string;
  dataCentre?: string;
}

export interface FoundingOptions {
  /** Whether members that join later wait in reserve instead of becoming voters. */
  keepsVoterCount: boolean;
}

const FOUNDING_TERM = 1;

/** Returns the member as a voter if its disk is unused. */
const describeUnused = async (
  replica: Replica,
  initial: InitialMember,
  findClient: FindClient,
): Promise<Member | undefined> => {
  const { memberId, address } = initial;
  if (memberId === replica.memberId) {
    const { diskIdentity } = replica;
    const { dataCentre } = replica.options;
    return create(MemberSchema, { memberId, diskIdentity, address, dataCentre, isVoter: true });
  }
  const request = create(DescribeRequestSchema, { memberId: replica.memberId });
  const described = await findClient(address).describe(
    request,
    replica.options.timings.peerTimeoutMs,
  );
  if (described.isErr()) return undefined;
  const { value } = described;
  if (value.memberId !== memberId) {
    const found = value.memberId;
    log.error({ memberId, found, address }, 'another member answers at this address');
    return undefined;
  }
  if (value.clusterId !== '') {
    log.info({ memberId, address }, 'a cluster exists already; waiting to be added to it');
    return undefined;
  }
  const { diskIdentity, dataCentre } = value;
  return create(MemberSchema, { memberId, diskIdentity, address, dataCentre, isVoter: true });
};

/**
 * Founds the cluster if this is its first start: this member has the lowest name of all initial
 * members, and every one of them has answered that its disk is unused. One founder, because two
 * could choose different memberships; all members, because a single one that does not answer may
 * hold the log of an existing cluster.
 *
 * @param replica - this member
 * @param initialMembers - all members of the settings
 * @param findClient - returns the connection to a peer
 * @param options - what later members become
 */
export const foundCluster = async (
  replica: Replica,
  initialMembers: InitialMember[],
  findClient: FindClient,
  options: FoundingOptions,
): Promise<void> => {
  const [founder] = initialMembers.map(({ memberId }) => memberId).toSorted();
  if (founder !== replica.memberId || !replica.isUnused) return;
  const described = await Promise.all(
    initialMembers.map((initial) => describeUnused(replica, initial, findClient)),
  );
  const members = described.filter((member) => member !== undefined);
  if (members.length < initialMembers.length) return;
  await replica.queue.run(async () => {
    if (!replica.isUnused) return;
    const voterTarget = options.keepsVoterCount ? members.length : 0;
    const membership = create(MembershipSchema, { members, clusterId: randomUUID(), voterTarget });
    const change = create(LogChangeSchema, { change: { case: 'membership', value: membership } });
    const payload = toBinary(LogChangeSchema, change);
    const entry = decodeEntry({ index: 1, term: FOUNDING_TERM, payload });
    replica.replaceFrom([entry]);
    const persisted = await replica.persist();
    if (persisted.isErr()) return;
    await replica.saveHardState({ term: FOUNDING_TERM, clusterId: membership.clusterId });
    replica.becomeFollower();
    log.info(
      { memberId: replica.memberId, clusterId: membership.clusterId, members: members.length },
      'founded the cluster',
    );
  });
};
