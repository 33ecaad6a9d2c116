import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import {
  TEST_CLUSTER,
  TEST_IDENTITY,
  createTestReplica,
  encodeChange,
  encodeMembership,
} from '../../../../../stand-ins/createTestReplica/index.js';
import { unwrapError, unwrapResult } from '../../../../../stand-ins/unwrapResult/index.js';
import { AppendRequestSchema } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type {
  AppendRequest,
  AppendResponse,
} from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type { Replica } from '../Replica/index.js';
import { handleAppend } from './index.js';

interface RequestOptions {
  term?: number;
  previousIndex?: number;
  previousTerm?: number;
  /** Terms of the entries. */
  entries?: number[];
  commitIndex?: number;
  sequence?: number;
  answeredSequence?: number;
  leaseRemainingMs?: number;
}

const createEntry = (index: number, term: number): { term: number; payload: Uint8Array } => ({
  term,
  payload:
    index === 1
      ? encodeMembership()
      : encodeChange({
          case: 'leaderStart',
          value: { $typeName: 'foxtailvane.v1.LeaderStart', memberId: `leader of term ${term}` },
        }),
});

const createRequest = (options: RequestOptions): AppendRequest => {
  const { term = 1, previousIndex = 0, entries = [] } = options;
  return create(AppendRequestSchema, {
    ...options,
    header: {
      clusterId: TEST_CLUSTER,
      memberId: 'c2',
      diskIdentity: 'disk-of-c2',
      targetDiskIdentity: TEST_IDENTITY,
      term,
    },
    entries: entries.map((entryTerm, position) =>
      createEntry(previousIndex + 1 + position, entryTerm),
    ),
  });
};

const send = async (replica: Replica, options: RequestOptions): Promise<AppendResponse> =>
  unwrapResult(await handleAppend(replica, createRequest(options)));

const termsOf = (replica: Replica): number[] => replica.log.from(1).map(({ term }) => term);

tap.test('entries of a former leader are replaced, on the disk as well', async (t) => {
  const { replica, disk, clock } = await createTestReplica();
  t.match(await send(replica, { entries: [1, 1, 1] }), { isAccepted: true, matchIndex: 3 });
  const refused = await send(replica, { term: 2, previousIndex: 3, previousTerm: 2, entries: [2] });
  t.match(refused, { isAccepted: false, matchIndex: 0 }, 'the leader goes on from the commit');
  const next = { term: 2, previousIndex: 1, previousTerm: 1, entries: [2] };
  t.match(await send(replica, next), { isAccepted: true, matchIndex: 2 });
  t.strictSame(termsOf(replica), [1, 2]);
  disk.crash();
  const restarted = await createTestReplica(disk, clock);
  t.strictSame(termsOf(restarted.replica), [1, 2]);
  t.equal(restarted.replica.term, 2);
});

tap.test('a request that arrives late does not remove newer entries', async (t) => {
  const { replica } = await createTestReplica();
  await send(replica, { entries: [1, 1, 1] });
  t.match(await send(replica, { entries: [1] }), { isAccepted: true, matchIndex: 1 });
  t.strictSame(termsOf(replica), [1, 1, 1]);
});

tap.test('a leader of an earlier term is refused and learns the term', async (t) => {
  const { replica } = await createTestReplica();
  await send(replica, { term: 5, entries: [1] });
  const response = await send(replica, {
    term: 4,
    previousIndex: 1,
    previousTerm: 1,
    entries: [4],
  });
  t.match(response, { isAccepted: false, term: 5 });
  t.strictSame(termsOf(replica), [1]);
});

tap.test('a committed entry is never replaced', async (t) => {
  const { replica } = await createTestReplica();
  await send(replica, { entries: [1, 1], commitIndex: 2 });
  const request = createRequest({ term: 2, previousIndex: 1, previousTerm: 1, entries: [2] });
  t.match(unwrapError(await handleAppend(replica, request)).message, /committed/);
  t.strictSame(termsOf(replica), [1, 1]);
});

tap.test('only entries that agree with the leader are counted as committed', async (t) => {
  const { replica } = await createTestReplica();
  await send(replica, { entries: [1, 1, 1] });
  const heartbeat = { term: 2, previousIndex: 1, previousTerm: 1, commitIndex: 3 };
  await send(replica, heartbeat);
  t.equal(replica.commitIndex, 1, 'entries 2 and 3 may differ from those of the new leader');
});

tap.test('the transit time of a request does not extend the lease', async (t) => {
  const { replica, clock } = await createTestReplica();
  await send(replica, { entries: [1], commitIndex: 1, sequence: 1 });
  const answeredAtMs = clock.nowMs;
  // The leader writes this right after the answer, and it arrives much later.
  clock.nowMs += 400;
  const late = { previousIndex: 1, previousTerm: 1, commitIndex: 1, leaseRemainingMs: 450 };
  await send(replica, { ...late, sequence: 2, answeredSequence: 1 });
  t.equal(replica.confirmedUntilMs, answeredAtMs + 450);
  const unanswered = { ...late, sequence: 3, answeredSequence: 0 };
  await send(replica, unanswered);
  t.equal(replica.confirmedUntilMs, answeredAtMs + 450, 'without an answer nothing is known');
});

tap.test('a member that lacks committed entries does not confirm its version', async (t) => {
  const { replica } = await createTestReplica();
  await send(replica, { entries: [1], commitIndex: 1, sequence: 1 });
  const behind = { previousIndex: 1, previousTerm: 1, commitIndex: 9, leaseRemainingMs: 450 };
  await send(replica, { ...behind, sequence: 2, answeredSequence: 1 });
  t.equal(replica.confirmedUntilMs, 0);
});

tap.test('an append that cannot be synced is not acknowledged', async (t) => {
  const { replica, disk } = await createTestReplica();
  await send(replica, { entries: [1] });
  disk.remainingSyncs = 0;
  const request = createRequest({ previousIndex: 1, previousTerm: 1, entries: [1] });
  unwrapError(await handleAppend(replica, request));
  t.ok(replica.failure);
});
