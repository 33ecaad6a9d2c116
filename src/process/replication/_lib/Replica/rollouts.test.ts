import tap from 'tap';

import {
  createTestReplica,
  encodeChange,
} from '../../../../../stand-ins/createTestReplica/index.js';
import { createOrder } from '../../../../../stand-ins/rollouts/index.js';
import { unwrapResult } from '../../../../../stand-ins/unwrapResult/index.js';
import { RolloutStage } from '../../../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { Rollout } from '../../../../_generated/foxtailvane/v1/rollouts_pb.js';
import { decodeEntry } from '../EntryLog/index.js';
import type { Replica } from './index.js';

/** Enough entries for snapshots with the default limits. */
const ENTRY_COUNT = 700;
const CRASH_EVERY = 60;

const STAGES = [RolloutStage.CANARY, RolloutStage.PROMOTING, RolloutStage.ROLLED_BACK];

/** Orders and steps of one roll-out after the other. */
const createRollout = (position: number): Rollout => {
  const id = Math.floor(position / STAGES.length) + 1;
  const step = (position % STAGES.length) + 1;
  const stage = STAGES[step - 1] ?? RolloutStage.UNSPECIFIED;
  return createOrder({ id, step, stage, targetVersion: `v${id % 5}`, requestId: `r-${id}` });
};

const appendOne = async (replica: Replica, position: number): Promise<void> => {
  const index = replica.log.lastIndex + 1;
  const payload = encodeChange({ case: 'rollout', value: createRollout(position) });
  replica.replaceFrom([decodeEntry({ index, term: 1, payload })]);
  unwrapResult(await replica.persist());
  replica.commitTo(index);
};

// Guards against a disk that loses an acknowledged order or step, or brings back an older stage.
tap.test('synced roll-outs survive each loss of power', async (t) => {
  const opened = await createTestReplica();
  const { disk, clock } = opened;
  let { replica } = opened;
  const positions = Array.from({ length: ENTRY_COUNT }, (_, position) => position);
  await positions.reduce(async (previous, position) => {
    await previous;
    await appendOne(replica, position);
    if (position % CRASH_EVERY !== CRASH_EVERY - 1) return;
    const expected = replica.rollouts.list();
    const lastIndex = replica.commitIndex;
    const { revision } = replica.rollouts.set();
    disk.crash();
    ({ replica } = await createTestReplica(disk, clock));
    t.equal(replica.log.lastIndex, lastIndex, 'every synced entry is there');
    // The entries behind the snapshot are applied once a leader has sent the commit index.
    replica.commitTo(lastIndex);
    t.strictSame(replica.rollouts.list(), expected);
    t.ok(replica.rollouts.set().revision >= revision, 'the revision does not go back');
  }, Promise.resolve());
  t.ok(replica.log.baseIndex > 0, 'a snapshot was taken');
});
