import tap from 'tap';
import type { Test } from 'tap';

import { LinkFault } from '../../../../stand-ins/FaultyPeerClient/index.js';
import {
  ControlCluster,
  createChange,
  waitUntil,
} from '../../../../stand-ins/controlCluster/index.js';
import type { ControlClusterOptions } from '../../../../stand-ins/controlCluster/index.js';
import { ApplyOutcome, MemberRole } from '../ControlLog/index.js';
import type { VersionHolder } from '../ControlLog/index.js';
import readMonotonicNowMs from '../readMonotonicNowMs/index.js';

const SEED = Number(process.env.SEED ?? 1);

const startCluster = async (
  t: Test,
  options: Partial<ControlClusterOptions> = {},
): Promise<ControlCluster> => {
  t.comment(`seed ${SEED}`);
  const cluster = await ControlCluster.start({ seed: SEED, memberCount: 3, ...options });
  t.teardown(() => cluster.close());
  return cluster;
};

const listOthers = (cluster: ControlCluster, ...except: string[]): string[] =>
  cluster.memberIds().filter((memberId) => !except.includes(memberId));

const computeContentHash = (version: number, slots: number): string =>
  Buffer.from(createChange(version, slots).configuration.contentHash).toString('hex');

/** Waits until a version is the newest on every running member. */
const waitForVersion = (cluster: ControlCluster, version: number): Promise<void> =>
  waitUntil(
    () =>
      cluster
        .memberIds()
        .filter((id) => cluster.isRunning(id))
        .every((id) => cluster.log(id).committed()?.holder.version === version),
    `all members hold version ${version}`,
  );

const findRole = (cluster: ControlCluster, memberId: string): MemberRole | undefined =>
  cluster
    .log(memberId)
    .members(readMonotonicNowMs())
    .find((member) => member.memberId === memberId)?.role;

tap.test('an accepted version survives the restart of all members', async (t) => {
  const cluster = await startCluster(t);
  const accepted = await cluster.log('c1').propose(createChange(1, 20), Date.now());
  t.equal(accepted.outcome, ApplyOutcome.Accepted);
  const ids = cluster.memberIds();
  await Promise.all(ids.map((memberId) => cluster.stopMember(memberId)));
  await Promise.all(ids.map((memberId) => cluster.startMember(memberId)));
  await cluster.waitForLeader();
  await waitForVersion(cluster, 1);
  await waitUntil(
    () => ids.every((id) => cluster.log(id).isConfirmed(readMonotonicNowMs())),
    'all members are confirmed',
  );
  const resent = await cluster.log('c3').propose(createChange(1, 20), Date.now());
  t.equal(resent.outcome, ApplyOutcome.AlreadyAccepted);
  t.equal(resent.holder?.requestId, 'request-1-20');
});

tap.test(
  'rejections include the holder, and rejected versions are not in the history',
  async (t) => {
    const cluster = await startCluster(t);
    const log = cluster.log('c2');
    t.equal((await log.propose(createChange(5, 20), Date.now())).outcome, ApplyOutcome.Accepted);
    const conflict = await log.propose(createChange(5, 21, { operator: 'other' }), Date.now());
    t.equal(conflict.outcome, ApplyOutcome.Conflict);
    t.match(conflict.holder, { operator: 'operator-1', contentHash: computeContentHash(5, 20) });
    const stale = await log.propose(createChange(4, 20), Date.now());
    t.equal(stale.outcome, ApplyOutcome.Stale);
    t.equal(stale.holder?.version, 5);
    const invalid = createChange(6, 20);
    invalid.configuration.contentHash = new Uint8Array(32);
    t.equal((await log.propose(invalid, Date.now())).outcome, ApplyOutcome.Invalid);
    t.equal((await log.propose(createChange(0, 1), Date.now())).outcome, ApplyOutcome.Invalid);
    t.strictSame(
      log.history().map(({ version }) => version),
      [5],
    );
  },
);

tap.test('exactly one of two concurrent changes with the same version is accepted', async (t) => {
  const cluster = await startCluster(t);
  const rounds = Array.from({ length: 50 }, (_, position) => position + 1);
  const winners = await rounds.reduce(async (previous, version) => {
    const earlier = await previous;
    const [left, right] = await Promise.all([
      cluster.log('c1').propose(createChange(version, 1, { operator: 'left' }), Date.now()),
      cluster.log('c2').propose(createChange(version, 2, { operator: 'right' }), Date.now()),
    ]);
    const outcomes = [left.outcome, right.outcome].toSorted();
    t.strictSame(outcomes, [ApplyOutcome.Accepted, ApplyOutcome.Conflict], `round ${version}`);
    t.equal(
      left.holder?.contentHash,
      right.holder?.contentHash,
      'both results include the same holder',
    );
    return [...earlier, left.holder?.contentHash];
  }, Promise.resolve<(string | undefined)[]>([]));
  await waitForVersion(cluster, rounds.length);
  cluster.memberIds().forEach((memberId) => {
    const hashes = cluster
      .log(memberId)
      .history()
      .map(({ contentHash }) => contentHash);
    t.strictSame(hashes, winners, `${memberId} holds the winners`);
  });
});

tap.test('concurrent resends of one request append one entry', async (t) => {
  const cluster = await startCluster(t);
  const leader = await cluster.waitForLeader();
  const before = cluster.log(leader).members(readMonotonicNowMs())[0]?.matchIndex ?? 0;
  const senders = [...cluster.memberIds(), ...cluster.memberIds()];
  const results = await Promise.all(
    senders.map((id) => cluster.log(id).propose(createChange(1, 20), Date.now())),
  );
  const outcomes = results.map(({ outcome }) => outcome);
  t.equal(outcomes.filter((outcome) => outcome === ApplyOutcome.Accepted).length, 1);
  t.equal(outcomes.filter((outcome) => outcome === ApplyOutcome.AlreadyAccepted).length, 5);
  t.equal(cluster.log(leader).committed()?.logIndex, before + 1);
});

tap.test('without a majority a change is rejected as unavailable, and did not run', async (t) => {
  const cluster = await startCluster(t, { timings: { proposalTimeoutMs: 1_500 } });
  const leader = await cluster.waitForLeader();
  await Promise.all(listOthers(cluster, leader).map((id) => cluster.stopMember(id)));
  await waitUntil(
    () => !cluster.log(leader).isConfirmed(readMonotonicNowMs()),
    'the lease has ended',
  );
  const refused = await cluster.log(leader).propose(createChange(1, 20), Date.now());
  t.equal(refused.outcome, ApplyOutcome.Unavailable);
  await Promise.all(listOthers(cluster, leader).map((id) => cluster.startMember(id)));
  await cluster.waitForLeader();
  const accepted = await cluster.log(leader).propose(createChange(1, 21), Date.now());
  t.equal(
    accepted.outcome,
    ApplyOutcome.Accepted,
    'the rejected content does not occupy the version number',
  );
});

tap.test(
  'a follower that lost its leader reports a request that was not sent as unavailable',
  async (t) => {
    const cluster = await startCluster(t, { timings: { proposalTimeoutMs: 1_500 } });
    const leader = await cluster.waitForLeader();
    const [follower = '', other = ''] = listOthers(cluster, leader);
    await cluster.stopMember(other);
    await cluster.stopMember(leader);
    const refused = await cluster.log(follower).propose(createChange(1, 20), Date.now());
    t.equal(refused.outcome, ApplyOutcome.Unavailable);
  },
);

/** Disrupts the leader at a certain step of an apply; resolves once the step is reached. */
type LoseLeader = (cluster: ControlCluster, leader: string) => Promise<void>;

const dropAppendsFrom = (cluster: ControlCluster, leader: string): void => {
  Object.assign(cluster, {
    findFault: (from: string, _to: string, kind: string) =>
      from === leader && kind === 'append' ? LinkFault.DropRequest : LinkFault.None,
  });
};

const isLogFile = (path: string): boolean => path.endsWith('/log');

const loseBeforeAppend: LoseLeader = (cluster, leader) =>
  new Promise((resolve) => {
    const files = cluster.files(leader);
    files.before = (operation, path) => {
      if (operation !== 'append' || !isLogFile(path)) return;
      dropAppendsFrom(cluster, leader);
      resolve();
      throw new Error('the VM stopped before the append');
    };
  });

const loseAfterSync: LoseLeader = (cluster, leader) => {
  dropAppendsFrom(cluster, leader);
  return new Promise((resolve) => {
    const files = cluster.files(leader);
    files.before = (operation, path) => {
      if (operation === 'synced' && isLogFile(path)) resolve();
    };
  });
};

const loseAfterCommit: LoseLeader = (cluster, leader) =>
  new Promise((resolve) => {
    const unsubscribe = cluster.log(leader).onCommitted(() => {
      unsubscribe();
      dropAppendsFrom(cluster, leader);
      resolve();
    });
  });

const loseBeforeAnswer: LoseLeader = (cluster, leader) => {
  Object.assign(cluster, {
    findFault: (_from: string, to: string, kind: string) =>
      to === leader && kind === 'forward' ? LinkFault.DropResponse : LinkFault.None,
  });
  return new Promise((resolve) => {
    const unsubscribe = cluster.log(leader).onCommitted(() => {
      unsubscribe();
      resolve();
    });
  });
};

const STEPS: [string, LoseLeader][] = [
  ['before the append', loseBeforeAppend],
  ['after the sync', loseAfterSync],
  ['after the commit', loseAfterCommit],
  ['before the answer', loseBeforeAnswer],
];

STEPS.forEach(([step, loseLeader]) => {
  tap.test(`a leader lost ${step}: a forwarded request is accepted exactly once`, async (t) => {
    const cluster = await startCluster(t);
    const leader = await cluster.waitForLeader();
    const [follower = '', other = ''] = listOthers(cluster, leader);
    const lost = loseLeader(cluster, leader);
    const proposed = cluster.log(follower).propose(createChange(1, 20), Date.now());
    await lost;
    await cluster.stopMember(leader);
    cluster.heal();
    const { outcome } = await proposed;
    t.equal(outcome, ApplyOutcome.Accepted, 'the follower retries with the next leader');
    const conflict = await cluster.log(other).propose(createChange(1, 21), Date.now());
    t.equal(conflict.outcome, ApplyOutcome.Conflict);
    cluster.files(leader).before = () => undefined;
    await cluster.startMember(leader);
    await waitForVersion(cluster, 1);
    cluster.memberIds().forEach((memberId) => {
      const hashes = cluster
        .log(memberId)
        .history()
        .map(({ contentHash }) => contentHash);
      t.strictSame(hashes, [computeContentHash(1, 20)], memberId);
    });
  });

  tap.test(`a leader lost ${step}: the outcome it reported is correct`, async (t) => {
    const cluster = await startCluster(t, { timings: { proposalTimeoutMs: 3_000 } });
    const leader = await cluster.waitForLeader();
    const [follower = ''] = listOthers(cluster, leader);
    const lost = loseLeader(cluster, leader);
    const proposed = cluster.log(leader).propose(createChange(1, 20), Date.now());
    await lost;
    await cluster.stopMember(leader);
    cluster.heal();
    const { outcome } = await proposed;
    await cluster.waitForLeader();
    const retried = await cluster.log(follower).propose(createChange(1, 20), Date.now());
    const allowed = [ApplyOutcome.Accepted, ApplyOutcome.AlreadyAccepted];
    t.ok(allowed.includes(retried.outcome), 'a resend succeeds');
    if (outcome === ApplyOutcome.Accepted) {
      t.equal(retried.outcome, ApplyOutcome.AlreadyAccepted, 'the accepted version is kept');
    } else {
      t.equal(outcome, ApplyOutcome.Unknown, 'it may have run');
    }
  });
});

tap.test('a partitioned leader loses its lease before another leader accepts', async (t) => {
  const cluster = await startCluster(t, { timings: { proposalTimeoutMs: 3_000 } });
  const stale = await cluster.waitForLeader();
  cluster.isolate([stale]);
  const [first = ''] = listOthers(cluster, stale);
  const wasConfirmed: boolean[] = [];
  cluster.log(first).onCommitted(() => {
    wasConfirmed.push(cluster.log(stale).isConfirmed(readMonotonicNowMs()));
  });
  const refused = cluster.log(stale).propose(createChange(1, 20), Date.now());
  await cluster.waitForLeader([stale]);
  const accepted = await cluster.log(first).propose(createChange(1, 21), Date.now());
  t.equal(accepted.outcome, ApplyOutcome.Accepted);
  t.strictSame(wasConfirmed, [false], 'the stale leader no longer confirms its version');
  t.equal((await refused).outcome, ApplyOutcome.Unknown, 'it was appended, so it may have run');
  const later = await cluster.log(stale).propose(createChange(2, 20), Date.now());
  t.equal(later.outcome, ApplyOutcome.Unavailable, 'it was not appended, so it did not run');
  cluster.heal();
  await waitForVersion(cluster, 1);
  const conflict = await cluster.log(stale).propose(createChange(1, 20), Date.now());
  t.equal(conflict.outcome, ApplyOutcome.Conflict);
});

tap.test('a follower of a leader without a majority does not confirm its version', async (t) => {
  const cluster = await startCluster(t, { memberCount: 5 });
  const stale = await cluster.waitForLeader();
  const [companion = ''] = listOthers(cluster, stale);
  cluster.isolate([stale, companion]);
  const leader = await cluster.waitForLeader([stale]);
  const confirmations: boolean[] = [];
  cluster.log(leader).onCommitted(() => {
    confirmations.push(cluster.log(companion).isConfirmed(readMonotonicNowMs()));
  });
  const accepted = await cluster.log(leader).propose(createChange(1, 20), Date.now());
  t.equal(accepted.outcome, ApplyOutcome.Accepted);
  t.strictSame(confirmations, [false]);
});

[
  { name: 'a failed sync', operation: 'sync', code: 'EIO' },
  { name: 'a full disk', operation: 'append', code: 'ENOSPC' },
].forEach(({ name, operation, code }) => {
  tap.test(`${name} makes the leader step down without acknowledging`, async (t) => {
    const cluster = await startCluster(t);
    const leader = await cluster.waitForLeader();
    const [follower = ''] = listOthers(cluster, leader);
    cluster.files(leader).before = (attempted, path) => {
      if (attempted !== operation || !isLogFile(path)) return;
      throw Object.assign(new Error(`${code}: simulated fault`), { code });
    };
    const unknown = await cluster.log(leader).propose(createChange(1, 20), Date.now());
    t.equal(unknown.outcome, ApplyOutcome.Unknown);
    t.equal(findRole(cluster, leader), MemberRole.SteppedDown);
    await cluster.waitForLeader([leader]);
    const accepted = await cluster.log(follower).propose(createChange(2, 20), Date.now());
    t.equal(accepted.outcome, ApplyOutcome.Accepted);
    cluster.files(leader).before = () => undefined;
    const refused = await cluster.log(leader).propose(createChange(3, 20), Date.now());
    t.equal(
      refused.outcome,
      ApplyOutcome.Unavailable,
      'it does not take part although the disk works again',
    );
    await cluster.stopMember(leader);
    await cluster.startMember(leader);
    await waitForVersion(cluster, 2);
  });
});

tap.test(
  'a former leader does not acknowledge entries that it has sent but not stored',
  async (t) => {
    const cluster = await startCluster(t);
    const leader = await cluster.waitForLeader();
    const [follower = ''] = listOthers(cluster, leader);
    let unblock = (): void => undefined;
    const blocked = new Promise<void>((resolve) => {
      unblock = resolve;
    });
    cluster.files(leader).before = (operation, path) =>
      operation === 'append' && isLogFile(path) ? blocked : undefined;
    // The write of the first version blocks; the second and third remain in memory.
    const proposals = [1, 2, 3].map(async (version) => {
      await waitUntil(
        () => (cluster.log(follower).committed()?.holder.version ?? 0) >= version - 1,
        'the followers hold the previous version',
      );
      return cluster.log(leader).propose(createChange(version, 20), Date.now());
    });
    await waitUntil(
      () => cluster.log(follower).committed()?.holder.version === 3,
      'a majority that excludes the leader holds the versions',
    );
    cluster.isolate([leader]);
    await cluster.waitForLeader([leader]);
    cluster.files(leader).before = () => undefined;
    unblock();
    await cluster.log(follower).propose(createChange(4, 20), Date.now());
    cluster.heal();
    await waitForVersion(cluster, 4);
    await Promise.all(proposals);
    await cluster.stopMember(leader);
    const restarted = await cluster.startMember(leader);
    const otherIds = listOthers(cluster, leader);
    await Promise.all(otherIds.map((id) => cluster.stopMember(id)));
    t.equal(restarted.members(readMonotonicNowMs()).length, 3);
    await Promise.all(otherIds.map((id) => cluster.startMember(id)));
    await waitForVersion(cluster, 4);
  },
);

tap.test('a member that missed 500 versions catches up by a snapshot, in order', async (t) => {
  const limits = { compactAfterEntries: 100, retainedEntries: 20, maxConfigurations: 300 };
  const cluster = await startCluster(t, { limits });
  const leader = await cluster.waitForLeader();
  const [behind = ''] = listOthers(cluster, leader);
  await cluster.log(leader).propose(createChange(1, 20), Date.now());
  await waitForVersion(cluster, 1);
  await cluster.stopMember(behind);
  const versions = Array.from({ length: 500 }, (_, position) => position + 2);
  await versions.reduce(async (previous, version) => {
    await previous;
    await cluster.log(leader).propose(createChange(version, 20), Date.now());
  }, Promise.resolve());
  const restarted = await cluster.startMember(behind);
  const seen: number[] = [];
  restarted.onCommitted(({ holder }) => seen.push(holder.version));
  await waitForVersion(cluster, 501);
  t.strictSame(
    seen,
    seen.toSorted((left, right) => left - right),
  );
  t.equal(seen.at(-1), 501);
  const expected = cluster.log(leader).history();
  t.equal(expected.length, 501);
  t.strictSame(restarted.history(), expected, 'all holders are kept');
  t.equal(restarted.committedVersion(201), undefined, 'old configurations are dropped');
  t.equal(restarted.committedVersion(202)?.configuration.version, 202);
  await cluster.stopMember(behind);
  const again = await cluster.startMember(behind);
  const holders = (): VersionHolder[] => again.history();
  await waitUntil(() => holders().length === 501, 'the history survives a restart');
});
