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
// Longer than five elections.
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

const membersOf = (cluster: ControlCluster, memberId: string): MemberStatus[] =>
  cluster.log(memberId).members(readMonotonicNowMs());

const isVoterWith = (cluster: ControlCluster, memberId: string, diskIdentity: string): boolean => {
  const leader = cluster.findLeader();
  if (!leader) return false;
  return membersOf(cluster, leader).some(
    (member) =>
      member.memberId === memberId && member.diskIdentity === diskIdentity && member.isVoter,
  );
};

/** Waits until the present disk of a member is a voter. */
const waitForVoter = (cluster: ControlCluster, memberId: string): Promise<void> =>
  waitUntil(
    () => isVoterWith(cluster, memberId, cluster.log(memberId).diskIdentity),
    `${memberId} is a voter`,
  );

const apply = async (cluster: ControlCluster, via: string, version: number): Promise<void> => {
  const { outcome } = await cluster.log(via).propose(createChange(version, 20), Date.now());
  if (outcome !== ApplyOutcome.Accepted) throw new Error(`version ${version}: ${outcome}`);
};

const versionsOf = (cluster: ControlCluster, memberId: string): number[] =>
  cluster
    .log(memberId)
    .history()
    .map(({ version }) => version);

const waitForHistory = (cluster: ControlCluster, id: string, versions: number[]): Promise<void> =>
  waitUntil(
    () => versionsOf(cluster, id).join() === versions.join(),
    `${id} holds versions ${versions.join()}`,
  );

tap.test(
  'the first start waits for every member, since a missing one may hold a log',
  async (t) => {
    const cluster = await createCluster(t);
    await cluster.startMember('c1');
    await cluster.startMember('c2');
    await pause(NO_LEADER_MS);
    t.equal(cluster.findLeader(), undefined);
    t.strictSame(membersOf(cluster, 'c1'), []);
    await cluster.startMember('c3');
    await cluster.waitForLeader();
    await apply(cluster, 'c2', 1);
    t.strictSame(versionsOf(cluster, 'c2'), [1]);
  },
);

tap.test(
  'a founder that lost its disk joins the cluster instead of founding another',
  async (t) => {
    const cluster = await createCluster(t);
    await startAll(cluster);
    await apply(cluster, 'c2', 1);
    await Promise.all(cluster.memberIds().map((id) => cluster.stopMember(id)));
    await cluster.wipeDisk('c1');
    await cluster.startMember('c1');
    await pause(NO_LEADER_MS);
    t.equal(cluster.findLeader(), undefined, 'alone it founds nothing');
    await cluster.startMember('c2');
    await cluster.startMember('c3');
    await waitForVoter(cluster, 'c1');
    await waitForHistory(cluster, 'c1', [1]);
  },
);

tap.test('after a lost disk is replaced, a second one can be lost', async (t) => {
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
  t.equal(cluster.findLeader(), undefined, 'one of three disks is no majority');
  t.strictSame(versionsOf(cluster, first), [1, 2, 3], 'the remaining disk holds everything');
});

tap.test('lost disks replaced one after the other lose nothing', async (t) => {
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

tap.test('steady load does not keep a new disk from getting its vote', async (t) => {
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
    () => versionsOf(cluster, first).length === version,
    'the new disk holds every version',
  );
  t.equal(versionsOf(cluster, leader).length, version);
});

tap.test('a member without a vote takes part but does not make a majority', async (t) => {
  const cluster = await createCluster(t, { timings: { proposalTimeoutMs: 2_000 } });
  const leader = await startAll(cluster);
  const [first = '', second = ''] = cluster.memberIds().filter((id) => id !== leader);
  await cluster.stopMember(second);
  await cluster.wipeDisk(first);
  await cluster.startMember(first);
  const { outcome } = await cluster.log(leader).propose(createChange(1, 20), Date.now());
  t.not(outcome, ApplyOutcome.Accepted, 'an empty disk does not stand in for the lost one');
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
  const elsewhere = await cluster.log(follower).addMember(cluster.initialMember('c4'));
  t.equal(unwrapError(elsewhere).code, ReplicationErrorCode.NotLeader);
  const [added, second] = await Promise.all([
    cluster.log(leader).addMember(cluster.initialMember('c4')),
    cluster.log(leader).removeMember(follower),
  ]);
  unwrapResult(added);
  t.equal(unwrapError(second).code, ReplicationErrorCode.Refused, 'one change at a time');
  await waitForVoter(cluster, 'c4');
  await waitForHistory(cluster, 'c4', [1]);
  // A later entry is committed after the promotion, which is seen before it is committed.
  await apply(cluster, leader, 2);
  const repeated = await cluster.log(leader).addMember(cluster.initialMember('c4'));
  t.equal(unwrapError(repeated).code, ReplicationErrorCode.Refused);
  unwrapResult(await cluster.log(leader).removeMember(follower));
  await cluster.stopMember(follower);
  t.equal(membersOf(cluster, leader).length, 3);
  await apply(cluster, 'c4', 3);
});

tap.test('a leader that is removed hands over to the remaining members', async (t) => {
  const cluster = await createCluster(t);
  const leader = await startAll(cluster);
  const [follower = ''] = cluster.memberIds().filter((id) => id !== leader);
  unwrapResult(await cluster.log(leader).removeMember(leader));
  await cluster.waitForLeader([leader]);
  await apply(cluster, follower, 1);
  await pause(NO_LEADER_MS);
  const next = await cluster.waitForLeader([leader]);
  t.equal(membersOf(cluster, next).length, 2);
  await apply(cluster, follower, 2);
});

tap.test('the last voter cannot be removed', async (t) => {
  const cluster = await createCluster(t, { memberCount: 1 });
  await startAll(cluster);
  await apply(cluster, 'c1', 1);
  const refused = await cluster.log('c1').removeMember('c1');
  t.equal(unwrapError(refused).code, ReplicationErrorCode.Refused);
});
