import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import {
  createTestReplica,
  encodeChange,
} from '../../../../../stand-ins/createTestReplica/index.js';
import {
  MemberSchema,
  MembershipSchema,
} from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import { decodeEntry } from '../EntryLog/index.js';
import type { Replica } from '../Replica/index.js';
import describeMembers from './index.js';

const READY_LEADERSHIP = { isReady: true, findPeer: () => undefined };

const appendMembership = (replica: Replica, isPromoted: boolean): void => {
  const members = [
    create(MemberSchema, { memberId: 'c1', diskIdentity: 'old', isVoter: true }),
    create(MemberSchema, { memberId: 'c2', diskIdentity: 'new', isVoter: isPromoted }),
  ];
  const membership = create(MembershipSchema, { clusterId: 'cluster', members });
  const payload = encodeChange({ case: 'membership', value: membership });
  replica.replaceFrom([decodeEntry({ index: replica.log.lastIndex + 1, term: 1, payload })]);
};

// Guards against an operator who replaces the next disk when the status shows the last one as a voter,
// although its promotion is lost with the leader.
tap.test('a leader reports a promotion only once it is committed', async (t) => {
  const { replica } = await createTestReplica();
  const listVoters = (): string[] =>
    describeMembers(replica, READY_LEADERSHIP, true)
      .filter(({ isVoter }) => isVoter)
      .map(({ memberId }) => memberId);
  appendMembership(replica, false);
  replica.commitTo(replica.log.lastIndex);
  appendMembership(replica, true);
  t.strictSame(listVoters(), ['c1']);
  replica.commitTo(replica.log.lastIndex);
  t.strictSame(listVoters(), ['c1', 'c2']);
});

// Guards against a restarted control VM that reports no other control VMs until it reaches a leader.
tap.test('a member that does not lead reports the newest membership of its log', async (t) => {
  const { replica } = await createTestReplica();
  appendMembership(replica, true);
  t.equal(describeMembers(replica, undefined, false).length, 2);
});
