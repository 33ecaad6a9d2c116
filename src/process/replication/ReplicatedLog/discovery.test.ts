import tap from 'tap';
import type { Test } from 'tap';

import {
  ControlCluster,
  createChange,
  waitUntil,
} from '../../../../stand-ins/controlCluster/index.js';
import type { ControlClusterOptions } from '../../../../stand-ins/controlCluster/index.js';
import { ApplyOutcome } from '../ControlLog/index.js';
import readMonotonicNowMs from '../readMonotonicNowMs/index.js';

const SEED = Number(process.env.SEED ?? 12);

const createCluster = async (
  t: Test,
  options: Partial<ControlClusterOptions> = {},
): Promise<ControlCluster> => {
  t.comment(`seed ${SEED}`);
  const cluster = await ControlCluster.create({
    seed: SEED,
    memberCount: 3,
    isDiscovered: true,
    timings: { replaceAfterMs: 800 },
    ...options,
  });
  t.teardown(() => cluster.close());
  await Promise.all(cluster.memberIds().map((id) => cluster.startMember(id)));
  await cluster.waitForLeader();
  return cluster;
};

const listVoters = (cluster: ControlCluster): string[] => {
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
  waitUntil(() => listVoters(cluster).join() === voters.join(), `voters are ${voters.join()}`);

const apply = async (cluster: ControlCluster, via: string, version: number): Promise<void> => {
  const { outcome } = await cluster.log(via).propose(createChange(version, 20), Date.now());
  if (outcome !== ApplyOutcome.Accepted) throw new Error(`version ${version}: ${outcome}`);
};

// Guards against losing the majority at the second loss, although a VM replaced the first one lost.
tap.test('a new VM replaces a voter that was lost', async (t) => {
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
  t.strictSame(listVoters(cluster), ['c1', 'c2', 'c3'], 'the new VM remains a non-voter');
  await cluster.wipeDisk('c2');
  await waitForVoters(cluster, ['c1', 'c3', 'c4']);
  await cluster.wipeDisk('c3');
  await waitUntil(() => cluster.findLeader() !== undefined, 'c1 and c4 have a leader');
  await apply(cluster, 'c4', 2);
  t.equal(cluster.log('c1').history().length, 2);
});

// Guards against a replaced VM that restarts and is never added to the membership again.
tap.test('a voter that was replaced joins again as a non-voter', async (t) => {
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
  }, 'c3 is a non-voter');
  await apply(cluster, 'c3', 1);
  t.strictSame(listVoters(cluster), ['c1', 'c2', 'c4']);
});

// Guards against a split into two clusters: an empty disk must not bootstrap a second one.
tap.test('a VM with a lost disk joins its cluster again and bootstraps no other', async (t) => {
  const cluster = await createCluster(t);
  await apply(cluster, 'c1', 1);
  await cluster.wipeDisk('c1');
  await cluster.startMember('c1');
  await waitUntil(() => cluster.log('c1').history().length === 1, 'c1 holds the version');
  await waitForVoters(cluster, ['c1', 'c2', 'c3']);
  t.equal(cluster.log('c1').members(readMonotonicNowMs()).length, 3);
});

// Guards against losing what was acknowledged when as many disks are lost as the operators allow: three
// initial voters bear the loss of one disk only, however many other VMs hold the log.
tap.test('with five voters the loss of two disks loses no accepted version', async (t) => {
  const cluster = await createCluster(t, { voterTarget: 5 });
  await Promise.all(
    ['c4', 'c5'].map(async (id) => {
      await cluster.prepareMember(id);
      await cluster.startMember(id);
    }),
  );
  await waitForVoters(cluster, ['c1', 'c2', 'c3', 'c4', 'c5']);
  await apply(cluster, 'c4', 1);
  const [first = '', second = ''] = ['c1', 'c2', 'c3'];
  await Promise.all([first, second].map((id) => cluster.wipeDisk(id)));
  await cluster.waitForLeader([first, second]);
  await apply(cluster, 'c4', 2);
  await Promise.all([first, second].map((id) => cluster.startMember(id)));
  await waitForVoters(cluster, ['c1', 'c2', 'c3', 'c4', 'c5']);
  await waitUntil(
    () => cluster.log(first).committed()?.holder.version === 2,
    'a VM with a new disk holds version 2',
  );
});

// Guards against clusters of the build before that keep too few voters.
tap.test(
  'a cluster founded with three voters is raised to the number of its settings',
  async (t) => {
    const founded = await createCluster(t);
    await founded.prepareMember('c4');
    await founded.prepareMember('c5');
    await Promise.all(founded.memberIds().map((id) => founded.stopMember(id)));
    founded.setVoterTarget(5);
    await Promise.all(founded.memberIds().map((id) => founded.startMember(id)));
    await waitForVoters(founded, ['c1', 'c2', 'c3', 'c4', 'c5']);
  },
);
