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
import type { FindClient } from '../runElection/index.js';

const log = createLogger('replication');

/** A control VM as given in the settings. */
export interface InitialMember {
  memberId: string;
  /** `host:port` of its `listen` listener. */
  address: string;
  dataCentre?: string;
}

export interface BootstrapOptions {
  /**
   * Voters that the cluster keeps, at least the initial members; members that join beyond them stay
   * non-voters. Every member becomes a voter if it is undefined.
   */
  voterTarget: number | undefined;
}

const INITIAL_TERM = 1;

/** Asks an initial member for its disk identity; returns it as a voter if its disk is unused. */
const describeInitialMember = async (
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
    log.error({ memberId, found, address }, 'a member with another name answers at this address');
    return undefined;
  }
  if (value.clusterId !== '') {
    log.info({ memberId, address }, 'a cluster already exists; waiting to be added to it');
    return undefined;
  }
  const { diskIdentity, dataCentre } = value;
  return create(MemberSchema, { memberId, diskIdentity, address, dataCentre, isVoter: true });
};

/**
 * Bootstraps the cluster at its first start. Only the initial member with the lowest name does so,
 * because two members could choose different memberships. All initial members must report an unused
 * disk, because one that does not answer may hold the log of an existing cluster.
 *
 * @param replica - this member
 * @param initialMembers - all members listed in the settings
 * @param findClient - returns the client of a peer
 * @param options - role of members that join later
 */
export const bootstrapCluster = async (
  replica: Replica,
  initialMembers: InitialMember[],
  findClient: FindClient,
  options: BootstrapOptions,
): Promise<void> => {
  const [bootstrapMemberId] = initialMembers.map(({ memberId }) => memberId).toSorted();
  if (bootstrapMemberId !== replica.memberId || !replica.isUnused) return;
  const described = await Promise.all(
    initialMembers.map((initial) => describeInitialMember(replica, initial, findClient)),
  );
  const members = described.filter((member) => member !== undefined);
  if (members.length < initialMembers.length) return;
  await replica.queue.run(async () => {
    if (!replica.isUnused) return;
    const voterTarget =
      options.voterTarget === undefined ? 0 : Math.max(options.voterTarget, members.length);
    const membership = create(MembershipSchema, { members, clusterId: randomUUID(), voterTarget });
    const change = create(LogChangeSchema, { change: { case: 'membership', value: membership } });
    const payload = toBinary(LogChangeSchema, change);
    const entry = decodeEntry({ index: 1, term: INITIAL_TERM, payload });
    replica.replaceFrom([entry]);
    const persisted = await replica.persist();
    if (persisted.isErr()) return;
    await replica.saveHardState({ term: INITIAL_TERM, clusterId: membership.clusterId });
    replica.becomeFollower();
    log.info(
      { memberId: replica.memberId, clusterId: membership.clusterId, members: members.length },
      'bootstrapped the cluster',
    );
  });
};
