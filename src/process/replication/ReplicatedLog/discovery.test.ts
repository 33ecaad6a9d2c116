import tap from 'tap';
import type { Test } from 'tap';

import {
  ControlCluster,
  createChange,
  waitUntil,
} from '../../../../stand-ins/controlCluster/index.js';
import { ApplyOutcome } from '../ControlLog/index.js';
import readMonotonicNowMs from '../readMonotonicNowMs/index.js';

const SEED = Number(process.env.SEED ?? 12);

const createCluster = async (t: Test): Promise<ControlCluster> => {
  t.comment(`seed ${SEED}`);
  const cluster = await ControlCluster.create({
    seed: SEED,
    memberCount: 3,
    isDiscovered: true,
    timings: { replaceAfterMs: 800 },
  });
  t.teardown(() => cluster.close());
  await Promise.all(cluster.memberIds().map((id) => cluster.startMember(id)));
  await cluster.waitForLeader();
  return cluster;
};

const votersOf = (cluster: ControlCluster): string[] => {
  const leader = cluster.findLeader();
  if (!leader) return [];
  return cluster
    .log(leader)
    .members(readMonotonicNowMs())
    .filter(({ isVoter }) => isVoter)
    .map(({ memberId }) => memberId)
    .toSorted();
};

const waitForVoters = (cluster: ControlCluster, voters: string[]): Promise<void> =>
  waitUntil(() => votersOf(cluster).join() === voters.join(), `voters are ${voters.join()}`);

const apply = async (cluster: ControlCluster, via: string, version: number): Promise<void> => {
  const { outcome } = await cluster.log(via).propose(createChange(version, 20), Date.now());
  if (outcome !== ApplyOutcome.Accepted) throw new Error(`version ${version}: ${outcome}`);
};

// Guards against a cluster that cannot bear a second loss after a VM was replaced by another one.
tap.test('a new VM takes the place of a voter that is gone', async (t) => {
  const cluster = await createCluster(t);
  await apply(cluster, 'c1', 1);
  await cluster.prepareMember('c4');
  await cluster.startMember('c4');
  await waitUntil(
    () =>
      cluster
        .log(cluster.findLeader() ?? 'c1')
        .members(readMonotonicNowMs())
        .some(({ memberId }) => memberId === 'c4'),
    'c4 has joined',
  );
  t.strictSame(votersOf(cluster), ['c1', 'c2', 'c3'], 'it waits in reserve');
  await cluster.wipeDisk('c2');
  await waitForVoters(cluster, ['c1', 'c3', 'c4']);
  await cluster.wipeDisk('c3');
  await waitUntil(() => cluster.findLeader() !== undefined, 'c1 and c4 have a leader');
  await apply(cluster, 'c4', 2);
  t.equal(cluster.log('c1').history().length, 2);
});

// Guards against a VM that comes back after its place was taken and never takes part again.
tap.test('a voter that was replaced joins again in reserve', async (t) => {
  const cluster = await createCluster(t);
  await cluster.prepareMember('c4');
  await cluster.startMember('c4');
  await cluster.stopMember('c3');
  await waitForVoters(cluster, ['c1', 'c2', 'c4']);
  await cluster.startMember('c3');
  await waitUntil(() => {
    const leader = cluster.findLeader();
    const members = leader ? cluster.log(leader).members(readMonotonicNowMs()) : [];
    return members.some(({ memberId, isVoter }) => memberId === 'c3' && !isVoter);
  }, 'c3 is in reserve');
  await apply(cluster, 'c3', 1);
  t.strictSame(votersOf(cluster), ['c1', 'c2', 'c4']);
});

// Guards against two clusters: empty disks must never found one beside an existing one.
tap.test('a VM with a lost disk joins its cluster again and founds none', async (t) => {
  const cluster = await createCluster(t);
  await apply(cluster, 'c1', 1);
  await cluster.wipeDisk('c1');
  await cluster.startMember('c1');
  await waitUntil(() => cluster.log('c1').history().length === 1, 'c1 holds the version');
  await waitForVoters(cluster, ['c1', 'c2', 'c3']);
  t.equal(cluster.log('c1').members(readMonotonicNowMs()).length, 3);
});
