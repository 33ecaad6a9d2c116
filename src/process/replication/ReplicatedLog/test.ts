import tap from 'tap';
import type { Test } from 'tap';

import {
  ControlCluster,
  createChange,
  waitUntil,
} from '../../../../stand-ins/controlCluster/index.js';
import readMonotonicNowMs from '../readMonotonicNowMs/index.js';
import { ApplyOutcome } from '../ControlLog/index.js';

const SEED = Number(process.env.SEED ?? 1);

const startCluster = async (t: Test, memberCount = 3): Promise<ControlCluster> => {
  t.comment(`seed ${SEED}`);
  const cluster = await ControlCluster.start({ seed: SEED, memberCount });
  t.teardown(() => cluster.close());
  return cluster;
};

tap.test('an accepted version survives the restart of all members', async (t) => {
  const cluster = await startCluster(t);
  const accepted = await cluster.log('c1').propose(createChange(1, 20), Date.now());
  t.equal(accepted.outcome, ApplyOutcome.Accepted);
  const ids = cluster.memberIds();
  await Promise.all(ids.map((memberId) => cluster.stopMember(memberId)));
  await Promise.all(ids.map((memberId) => cluster.startMember(memberId)));
  await cluster.waitForLeader();
  await waitUntil(
    () => ids.every((id) => cluster.log(id).committed()?.holder.version === 1),
    'all members hold version 1',
  );
  t.ok(cluster.log('c2').isConfirmed(readMonotonicNowMs()));
  const resent = await cluster.log('c3').propose(createChange(1, 20), Date.now());
  t.equal(resent.outcome, ApplyOutcome.AlreadyAccepted);
});
