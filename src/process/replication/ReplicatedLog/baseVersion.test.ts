import tap from 'tap';

import { ControlCluster, createChange } from '../../../../stand-ins/controlCluster/index.js';
import { unwrapResult } from '../../../../stand-ins/unwrapResult/index.js';
import { ApplyOutcome } from '../ControlLog/index.js';

const SEED = Number(process.env.SEED ?? 11);

tap.test('changes with a base version', async (t) => {
  t.comment(`seed ${SEED}`);
  const cluster = await ControlCluster.start({ seed: SEED, memberCount: 3 });
  t.teardown(() => cluster.close());
  const propose = (via: string, version: number, slots: number, baseVersion: number) =>
    cluster.log(via).propose({ ...createChange(version, slots), baseVersion }, Date.now());

  await t.test('the first change has base version 0', async (t2) => {
    t2.equal((await propose('c1', 3, 10, 0)).outcome, ApplyOutcome.Accepted);
  });

  // Guards against acknowledging the changes of two operators that are based on the same version.
  await t.test('exactly one of several changes with the same base is accepted', async (t2) => {
    const results = await Promise.all(
      ['c1', 'c2', 'c3', 'c1'].map((via, index) => propose(via, 5 + index, 20 + index, 3)),
    );
    const outcomes = results.map(({ outcome }) => outcome);
    t2.equal(outcomes.filter((outcome) => outcome === ApplyOutcome.Accepted).length, 1);
    t2.ok(
      outcomes.every(
        (outcome) =>
          outcome === ApplyOutcome.Accepted ||
          outcome === ApplyOutcome.BaseMismatch ||
          outcome === ApplyOutcome.Stale,
      ),
      outcomes.join(),
    );
  });

  // Guards against rejecting the retry of an operator whose first response was lost.
  await t.test('a retry of an accepted change is acknowledged after later changes', async (t2) => {
    const newest = cluster.log('c1').history().at(-1)?.version ?? 0;
    t2.equal((await propose('c2', 20, 7, newest)).outcome, ApplyOutcome.Accepted);
    t2.equal((await propose('c3', 3, 10, 0)).outcome, ApplyOutcome.AlreadyAccepted);
  });

  await t.test('a change based on a version that was never accepted is rejected', async (t2) => {
    t2.equal((await propose('c1', 40, 7, 30)).outcome, ApplyOutcome.BaseMismatch);
  });

  await t.test('every member reads the newest version with its document', async (t2) => {
    const document = new Uint8Array([1, 2, 3]);
    const change = { ...createChange(50, 9), baseVersion: 20, document };
    t2.equal((await cluster.log('c1').propose(change, Date.now())).outcome, ApplyOutcome.Accepted);
    const reads = await Promise.all(
      cluster.memberIds().map((id) => cluster.log(id).readNewest(2_000)),
    );
    reads.forEach((read) => {
      const newest = unwrapResult(read);
      t2.equal(newest?.holder.version, 50);
      t2.strictSame([...(newest?.document ?? [])], [1, 2, 3]);
    });
  });

  // Guards against a partitioned or suspended leader that still considers its lease valid.
  await t.test('a read fails on a member without a majority', async (t2) => {
    const leader = await cluster.waitForLeader();
    cluster.isolate([leader]);
    const read = await cluster.log(leader).readNewest(500);
    t2.ok(read.isErr(), 'no majority answered after the start of the read');
    cluster.heal();
  });
});
