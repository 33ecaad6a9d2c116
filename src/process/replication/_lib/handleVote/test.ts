import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import {
  TEST_CLUSTER,
  TEST_IDENTITY,
  createTestReplica,
} from '../../../../../stand-ins/createTestReplica/index.js';
import { unwrapError, unwrapResult } from '../../../../../stand-ins/unwrapResult/index.js';
import { VoteRequestSchema } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type {
  VoteRequest,
  VoteResponse,
} from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type { Replica } from '../Replica/index.js';
import { DEFAULT_TIMINGS } from '../timings/index.js';
import handleVote from './index.js';

const GUARD_MS = DEFAULT_TIMINGS.electionTimeoutMinMs;

interface RequestOptions {
  term?: number;
  candidate?: string;
  isPreVote?: boolean;
  lastIndex?: number;
  lastTerm?: number;
  target?: string;
  clusterId?: string;
}

const createRequest = (options: RequestOptions = {}): VoteRequest =>
  create(VoteRequestSchema, {
    header: {
      clusterId: options.clusterId ?? TEST_CLUSTER,
      memberId: options.candidate ?? 'c2',
      diskIdentity: `disk-of-${options.candidate ?? 'c2'}`,
      targetDiskIdentity: options.target ?? TEST_IDENTITY,
      term: options.term ?? 1,
    },
    lastIndex: options.lastIndex ?? 10,
    lastTerm: options.lastTerm ?? 1,
    isPreVote: options.isPreVote ?? false,
  });

const ask = async (replica: Replica, options: RequestOptions = {}): Promise<VoteResponse> =>
  unwrapResult(await handleVote(replica, createRequest(options)));

tap.test('a restarted member keeps the promise that it may have given to a leader', async (t) => {
  const { replica, clock } = await createTestReplica();
  t.notOk((await ask(replica)).isGranted);
  t.equal(replica.term, 0, 'the term of the candidate is not adopted');
  clock.nowMs += GUARD_MS;
  t.ok((await ask(replica)).isGranted);
});

tap.test('a member votes once in a term, also over a restart', async (t) => {
  const { replica, disk, clock } = await createTestReplica();
  clock.nowMs += GUARD_MS;
  t.ok((await ask(replica, { term: 3 })).isGranted);
  clock.nowMs += GUARD_MS;
  t.notOk((await ask(replica, { term: 3, candidate: 'c3' })).isGranted);
  t.ok((await ask(replica, { term: 3 })).isGranted, 'the same candidate may ask again');
  disk.crash();
  const restarted = await createTestReplica(disk, clock);
  clock.nowMs += GUARD_MS;
  t.notOk((await ask(restarted.replica, { term: 3, candidate: 'c3' })).isGranted);
  t.notOk((await ask(restarted.replica, { term: 2, candidate: 'c3' })).isGranted);
  t.ok((await ask(restarted.replica, { term: 4, candidate: 'c3' })).isGranted);
});

tap.test('within an election timeout of a vote or a leader nobody else is helped', async (t) => {
  const { replica, clock } = await createTestReplica();
  clock.nowMs += GUARD_MS;
  t.ok((await ask(replica, { term: 1 })).isGranted);
  clock.nowMs += GUARD_MS - 1;
  t.notOk((await ask(replica, { term: 9, candidate: 'c3' })).isGranted);
  t.equal(replica.term, 1, 'a cut-off candidate does not raise the term');
  t.notOk((await ask(replica, { term: 9, candidate: 'c3', isPreVote: true })).isGranted);
});

tap.test('a pre-vote changes nothing', async (t) => {
  const { replica, clock } = await createTestReplica();
  clock.nowMs += GUARD_MS;
  t.ok((await ask(replica, { term: 5, isPreVote: true })).isGranted);
  t.equal(replica.term, 0);
  t.equal(replica.votedFor, '');
  t.ok((await ask(replica, { term: 1, candidate: 'c3' })).isGranted);
});

tap.test('a candidate that lacks entries gets no vote', async (t) => {
  const { replica, clock } = await createTestReplica();
  const payload = new Uint8Array(0);
  replica.replaceFrom([
    {
      index: 1,
      term: 2,
      payload,
      change: { $typeName: 'foxtailvane.v1.LogChange', change: { case: undefined } },
    },
  ]);
  clock.nowMs += GUARD_MS;
  t.notOk((await ask(replica, { term: 3, lastIndex: 9, lastTerm: 1 })).isGranted);
  t.notOk((await ask(replica, { term: 3, lastIndex: 0, lastTerm: 0 })).isGranted);
  t.ok((await ask(replica, { term: 3, lastIndex: 1, lastTerm: 2 })).isGranted);
});

tap.test('a new disk does not vote in the name of the lost one', async (t) => {
  const { replica, clock } = await createTestReplica();
  clock.nowMs += GUARD_MS;
  const response = await ask(replica, { target: 'lost-identity' });
  t.notOk(response.isGranted);
  t.equal(response.diskIdentity, TEST_IDENTITY);
});

tap.test('a member of another cluster is refused', async (t) => {
  const { replica, clock } = await createTestReplica();
  clock.nowMs += GUARD_MS;
  t.ok((await ask(replica)).isGranted);
  const request = createRequest({ term: 7, clusterId: 'cluster-2' });
  t.match(unwrapError(await handleVote(replica, request)).message, /another cluster/);
});

tap.test('a vote that could not be stored is not given', async (t) => {
  const { replica, disk, clock } = await createTestReplica();
  clock.nowMs += GUARD_MS;
  disk.remainingSyncs = 0;
  unwrapError(await handleVote(replica, createRequest()));
  t.ok(replica.failure, 'the member no longer takes part');
});
