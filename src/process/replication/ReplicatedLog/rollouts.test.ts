import tap from 'tap';

import { LinkFault } from '../../../../stand-ins/FaultyPeerClient/index.js';
import {
  ControlCluster,
  createChange,
  waitUntil,
} from '../../../../stand-ins/controlCluster/index.js';
import { createOrder } from '../../../../stand-ins/rollouts/index.js';
import { unwrapResult } from '../../../../stand-ins/unwrapResult/index.js';
import { RolloutStage } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import { RolloutOutcome } from '../../rollouts/types.js';
import { ApplyOutcome } from '../ControlLog/index.js';

const SEED = Number(process.env.SEED ?? 21);

const order = (fields: Parameters<typeof createOrder>[0] = {}) =>
  createOrder({ service: 'order-desk-0', ...fields });

tap.test('orders and steps in the replicated log', async (t) => {
  t.comment(`seed ${SEED}`);
  const limits = { compactAfterEntries: 12, retainedEntries: 4 };
  const cluster = await ControlCluster.start({ seed: SEED, memberCount: 3, limits });
  t.teardown(() => cluster.close());
  const ids = cluster.memberIds();
  const propose = (via: string, rollout: ReturnType<typeof order>) =>
    cluster.log(via).proposeRollout(rollout, Date.now());
  const restartAll = async (): Promise<void> => {
    // Stopped at once and without a farewell, as by a loss of power after the acknowledgement.
    await Promise.all(ids.map((id) => cluster.stopMember(id)));
    await Promise.all(ids.map((id) => cluster.startMember(id)));
    await cluster.waitForLeader();
  };
  await cluster.log('c1').propose(createChange(1, 20, { serviceCount: 2 }), Date.now());

  // Guards against two roll-outs of a service when operators order at the same time.
  await t.test('one of several orders at once is accepted', async (t2) => {
    const targets = ['v2', 'v3', 'v2', 'v4'];
    const results = await Promise.all(
      targets.map((targetVersion, index) =>
        propose(ids[index % 3] ?? '', order({ targetVersion, requestId: `r-${targetVersion}` })),
      ),
    );
    const accepted = targets.filter((_, index) =>
      [RolloutOutcome.Accepted, RolloutOutcome.AlreadyAccepted].includes(
        results[index]?.outcome ?? RolloutOutcome.Unknown,
      ),
    );
    t2.equal(new Set(accepted).size, 1, results.map(({ outcome }) => outcome).join());
    const read = unwrapResult(await cluster.log('c2').readRollouts(2_000));
    t2.equal(read.length, 1);
    t2.match(read[0], { id: 1, step: 1, targetVersion: accepted[0] });
  });

  // Guards against a lost order, and against its repeat being refused.
  await t.test('an acknowledged order survives the loss of power everywhere', async (t2) => {
    const [placed] = unwrapResult(await cluster.log('c1').readRollouts(2_000));
    await restartAll();
    const read = unwrapResult(await cluster.log('c3').readRollouts(2_000));
    t2.strictSame(read, [placed]);
    const repeated = order({ targetVersion: placed?.targetVersion ?? '' });
    t2.equal((await propose('c3', repeated)).outcome, RolloutOutcome.AlreadyAccepted);
  });

  await t.test('configurations keep their version numbers and base versions', async (t2) => {
    const change = { ...createChange(2, 30, { serviceCount: 2 }), baseVersion: 1 };
    t2.equal((await cluster.log('c2').propose(change, Date.now())).outcome, ApplyOutcome.Accepted);
    unwrapResult(await cluster.log('c2').readNewest(2_000));
    t2.strictSame(
      cluster
        .log('c2')
        .history()
        .map(({ version }) => version),
      [1, 2],
    );
  });

  // Guards against a leader that was replaced and whose late step brings back a rolled-back version.
  await t.test('a rollback outlives the loss of its leader and snapshots', async (t2) => {
    const leader = await cluster.waitForLeader();
    const placed = cluster.log(leader).rolloutBook.find(1) ?? order();
    const rolledBack = { ...placed, step: 2, stage: RolloutStage.ROLLED_BACK, reason: 'failures' };
    t2.equal((await propose(leader, rolledBack)).outcome, RolloutOutcome.Accepted);
    await cluster.stopMember(leader);
    const successor = await cluster.waitForLeader([leader]);
    const late = { ...placed, step: 2, sharePermille: 80 };
    t2.equal((await propose(successor, late)).outcome, RolloutOutcome.Superseded);
    t2.match(cluster.log(successor).rollouts().rollouts, [{ stage: RolloutStage.ROLLED_BACK }]);
    // Enough entries for a snapshot, which the stopped member then receives.
    await Array.from({ length: 24 }).reduce(async (previous: Promise<unknown>, _, index) => {
      await previous;
      return cluster
        .log(successor)
        .propose(createChange(3 + index, 7, { serviceCount: 2 }), Date.now());
    }, Promise.resolve());
    await cluster.startMember(leader);
    await waitUntil(
      () => cluster.log(leader).rolloutBook.find(1)?.stage === RolloutStage.ROLLED_BACK,
      'the member holds the rollback',
    );
    await restartAll();
    const read = unwrapResult(await cluster.log(leader).readRollouts(2_000));
    t2.strictSame(read, [rolledBack]);
    t2.ok(cluster.log(leader).rollouts().revision > 0);
  });

  // Guards against an operator who is told a state that a cut-off control VM believes to be current.
  await t.test('a read and an order fail without a majority', async (t2) => {
    const leader = await cluster.waitForLeader();
    cluster.findFault = (from, to) =>
      [from, to].includes(leader) ? LinkFault.DropRequest : LinkFault.None;
    t2.ok((await cluster.log(leader).readRollouts(500)).isErr());
    const { outcome } = await propose(leader, order({ service: 'order-desk-1' }));
    t2.ok([RolloutOutcome.Unknown, RolloutOutcome.Unavailable].includes(outcome), outcome);
    cluster.heal();
  });
});
