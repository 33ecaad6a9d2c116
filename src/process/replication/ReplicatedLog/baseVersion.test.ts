import tap from 'tap';

import { ControlCluster, createChange } from '../../../../stand-ins/controlCluster/index.js';
import { unwrapResult } from '../../../../stand-ins/unwrapResult/index.js';
import { ApplyOutcome } from '../ControlLog/index.js';

const SEED = Number(process.env.SEED ?? 11);

tap.test('changes that name the version they build on', async (t) => {
  t.comment(`seed ${SEED}`);
  const cluster = await ControlCluster.start({ seed: SEED, memberCount: 3 });
  t.teardown(() => cluster.close());
  const propose = (via: string, version: number, slots: number, baseVersion: number) =>
    cluster.log(via).propose({ ...createChange(version, slots), baseVersion }, Date.now());

  await t.test('the first one builds on none', async (t2) => {
    t2.equal((await propose('c1', 3, 10, 0)).outcome, ApplyOutcome.Accepted);
  });

  // Guards against two operators who both get an acknowledgement for changes on one version.
  await t.test('of several on the same version exactly one is accepted', async (t2) => {
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

  // Guards against an operator who lost the answer and is told that the change was refused.
  await t.test('an accepted one is acknowledged again after later changes', async (t2) => {
    const newest = cluster.log('c1').history().at(-1)?.version ?? 0;
    t2.equal((await propose('c2', 20, 7, newest)).outcome, ApplyOutcome.Accepted);
    t2.equal((await propose('c3', 3, 10, 0)).outcome, ApplyOutcome.AlreadyAccepted);
  });

  await t.test('one that builds on a version nobody accepted is refused', async (t2) => {
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

  // Guards against a leader that was cut off or suspended and still believes in its lease.
  await t.test('a member without a majority does not read', async (t2) => {
    const leader = await cluster.waitForLeader();
    cluster.isolate([leader]);
    const read = await cluster.log(leader).readNewest(500);
    t2.ok(read.isErr(), 'no majority answered after the read began');
    cluster.heal();
  });
});
