import tap from 'tap';
import type { Test } from 'tap';

import {
  ControlCluster,
  createChange,
  waitUntil,
} from '../../../../stand-ins/controlCluster/index.js';
import type { ControlClusterOptions } from '../../../../stand-ins/controlCluster/index.js';
import { unwrapError, unwrapResult } from '../../../../stand-ins/unwrapResult/index.js';
import { ApplyOutcome } from '../ControlLog/index.js';
import type { MemberStatus } from '../ControlLog/index.js';
import { ReplicationErrorCode } from '../ReplicationError/index.js';
import readMonotonicNowMs from '../readMonotonicNowMs/index.js';

const SEED = Number(process.env.SEED ?? 1);
// Longer than the time that five elections take.
const NO_LEADER_MS = 6_000;

const createCluster = async (
  t: Test,
  options: Partial<ControlClusterOptions> = {},
): Promise<ControlCluster> => {
  t.comment(`seed ${SEED}`);
  const cluster = await ControlCluster.create({ seed: SEED, memberCount: 3, ...options });
  t.teardown(() => cluster.close());
  return cluster;
};

const startAll = async (cluster: ControlCluster): Promise<string> => {
  await Promise.all(cluster.memberIds().map((id) => cluster.startMember(id)));
  return cluster.waitForLeader();
};

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const listMembers = (cluster: ControlCluster, memberId: string): MemberStatus[] =>
  cluster.log(memberId).members(readMonotonicNowMs());

const isVoterWith = (cluster: ControlCluster, memberId: string, diskIdentity: string): boolean => {
  const leader = cluster.findLeader();
  if (!leader) return false;
  return listMembers(cluster, leader).some(
    (member) =>
      member.memberId === memberId && member.diskIdentity === diskIdentity && member.isVoter,
  );
};

/** Waits until the current disk of a member is a voter. */
const waitForVoter = (cluster: ControlCluster, memberId: string): Promise<void> =>
  waitUntil(
    () => isVoterWith(cluster, memberId, cluster.log(memberId).diskIdentity),
    `${memberId} is a voter`,
  );

const apply = async (cluster: ControlCluster, via: string, version: number): Promise<void> => {
  const { outcome } = await cluster.log(via).propose(createChange(version, 20), Date.now());
  if (outcome !== ApplyOutcome.Accepted) throw new Error(`version ${version}: ${outcome}`);
};

const listVersions = (cluster: ControlCluster, memberId: string): number[] =>
  cluster
    .log(memberId)
    .history()
    .map(({ version }) => version);

const waitForHistory = (cluster: ControlCluster, id: string, versions: number[]): Promise<void> =>
  waitUntil(
    () => listVersions(cluster, id).join() === versions.join(),
    `${id} holds versions ${versions.join()}`,
  );

tap.test(
  'the bootstrap waits for every initial member, since a missing one may hold a log',
  async (t) => {
    const cluster = await createCluster(t);
    await cluster.startMember('c1');
    await cluster.startMember('c2');
    await pause(NO_LEADER_MS);
    t.equal(cluster.findLeader(), undefined);
    t.strictSame(listMembers(cluster, 'c1'), []);
    await cluster.startMember('c3');
    await cluster.waitForLeader();
    await apply(cluster, 'c2', 1);
    // The change is answered once the leader has committed it; c2 may be a follower.
    await waitForHistory(cluster, 'c2', [1]);
    t.strictSame(listVersions(cluster, 'c2'), [1]);
  },
);

tap.test(
  'a bootstrap member that lost its disk rejoins the cluster instead of bootstrapping another',
  async (t) => {
    const cluster = await createCluster(t);
    await startAll(cluster);
    await apply(cluster, 'c2', 1);
    await Promise.all(cluster.memberIds().map((id) => cluster.stopMember(id)));
    await cluster.wipeDisk('c1');
    await cluster.startMember('c1');
    await pause(NO_LEADER_MS);
    t.equal(cluster.findLeader(), undefined, 'it does not bootstrap a cluster alone');
    await cluster.startMember('c2');
    await cluster.startMember('c3');
    await waitForVoter(cluster, 'c1');
    await waitForHistory(cluster, 'c1', [1]);
  },
);

tap.test('a second disk can be lost after the first was replaced', async (t) => {
  const cluster = await createCluster(t);
  const leader = await startAll(cluster);
  const [first = '', second = ''] = cluster.memberIds().filter((id) => id !== leader);
  await apply(cluster, leader, 1);
  const lostIdentity = cluster.log(first).diskIdentity;
  await cluster.wipeDisk(first);
  await apply(cluster, leader, 2);
  await cluster.startMember(first);
  await waitForVoter(cluster, first);
  t.not(cluster.log(first).diskIdentity, lostIdentity);
  t.notOk(isVoterWith(cluster, first, lostIdentity), 'the lost identity has no vote');
  await cluster.wipeDisk(second);
  await apply(cluster, first, 3);
  await cluster.wipeDisk(leader);
  await cluster.startMember(second);
  await cluster.startMember(leader);
  t.equal(cluster.findLeader(), undefined);
  await pause(NO_LEADER_MS);
  t.equal(cluster.findLeader(), undefined, 'one of three disks is not a majority');
  t.strictSame(listVersions(cluster, first), [1, 2, 3], 'the remaining disk holds all versions');
});

tap.test('no version is lost when disks are lost and replaced one after the other', async (t) => {
  const cluster = await createCluster(t);
  const leader = await startAll(cluster);
  await apply(cluster, leader, 1);
  const finalVersion = await cluster.memberIds().reduce(async (previous, memberId) => {
    const version = (await previous) + 1;
    await cluster.wipeDisk(memberId);
    await cluster.waitForLeader();
    const running = cluster.memberIds().find((id) => id !== memberId) ?? '';
    await apply(cluster, running, version);
    await cluster.startMember(memberId);
    await waitForVoter(cluster, memberId);
    return version;
  }, Promise.resolve(1));
  t.equal(finalVersion, 4);
  await waitForHistory(cluster, 'c1', [1, 2, 3, 4]);
  await waitForHistory(cluster, 'c3', [1, 2, 3, 4]);
});

tap.test('a new disk is promoted to a voter under steady load', async (t) => {
  const cluster = await createCluster(t, {
    limits: { compactAfterEntries: 50, retainedEntries: 5 },
  });
  const leader = await startAll(cluster);
  const [first = ''] = cluster.memberIds().filter((id) => id !== leader);
  let isPromoted = false;
  let version = 0;
  const load = async (): Promise<void> => {
    while (!isPromoted) {
      version += 1;
      await apply(cluster, leader, version);
    }
  };
  const loading = load();
  await waitUntil(() => version > 100, 'the log was compacted');
  await cluster.wipeDisk(first);
  await cluster.startMember(first);
  await waitForVoter(cluster, first);
  isPromoted = true;
  await loading;
  await waitUntil(
    () => listVersions(cluster, first).length === version,
    'the new disk holds every version',
  );
  t.equal(listVersions(cluster, leader).length, version);
});

tap.test('a non-voter does not count towards a majority', async (t) => {
  const cluster = await createCluster(t, { timings: { proposalTimeoutMs: 2_000 } });
  const leader = await startAll(cluster);
  const [first = '', second = ''] = cluster.memberIds().filter((id) => id !== leader);
  await cluster.stopMember(second);
  await cluster.wipeDisk(first);
  await cluster.startMember(first);
  const { outcome } = await cluster.log(leader).propose(createChange(1, 20), Date.now());
  t.not(outcome, ApplyOutcome.Accepted, 'an empty disk does not count in place of the lost one');
  await cluster.startMember(second);
  await waitForVoter(cluster, first);
  const retried = await cluster.log(first).propose(createChange(2, 20), Date.now());
  t.equal(retried.outcome, ApplyOutcome.Accepted);
});

tap.test('members are added and removed one at a time', async (t) => {
  const cluster = await createCluster(t);
  const leader = await startAll(cluster);
  await apply(cluster, leader, 1);
  await cluster.prepareMember('c4');
  await cluster.startMember('c4');
  const follower = cluster.memberIds().find((id) => id !== leader) ?? '';
  const addedAtFollower = await cluster.log(follower).addMember(cluster.initialMember('c4'));
  t.equal(unwrapError(addedAtFollower).code, ReplicationErrorCode.NotLeader);
  const [added, second] = await Promise.all([
    cluster.log(leader).addMember(cluster.initialMember('c4')),
    cluster.log(leader).removeMember(follower),
  ]);
  unwrapResult(added);
  t.equal(unwrapError(second).code, ReplicationErrorCode.Refused, 'one change at a time');
  await waitForVoter(cluster, 'c4');
  await waitForHistory(cluster, 'c4', [1]);
  // The promotion is visible before it is committed; it is committed once a later entry is.
  await apply(cluster, leader, 2);
  const repeated = await cluster.log(leader).addMember(cluster.initialMember('c4'));
  t.equal(unwrapError(repeated).code, ReplicationErrorCode.Refused);
  unwrapResult(await cluster.log(leader).removeMember(follower));
  await cluster.stopMember(follower);
  t.equal(listMembers(cluster, leader).length, 3);
  await apply(cluster, 'c4', 3);
});

tap.test('the remaining members elect a new leader after the leader was removed', async (t) => {
  const cluster = await createCluster(t);
  const leader = await startAll(cluster);
  const [follower = ''] = cluster.memberIds().filter((id) => id !== leader);
  unwrapResult(await cluster.log(leader).removeMember(leader));
  await cluster.waitForLeader([leader]);
  await apply(cluster, follower, 1);
  await pause(NO_LEADER_MS);
  const next = await cluster.waitForLeader([leader]);
  t.equal(listMembers(cluster, next).length, 2);
  await apply(cluster, follower, 2);
});

tap.test('the last voter cannot be removed', async (t) => {
  const cluster = await createCluster(t, { memberCount: 1 });
  await startAll(cluster);
  await apply(cluster, 'c1', 1);
  const refused = await cluster.log('c1').removeMember('c1');
  t.equal(unwrapError(refused).code, ReplicationErrorCode.Refused);
});
