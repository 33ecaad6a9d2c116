import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { ok } from 'neverthrow';
import tap from 'tap';
import type { Test } from 'tap';

import {
  ControlCluster,
  createChange,
  waitUntil,
} from '../../../../stand-ins/controlCluster/index.js';
import { unwrapResult } from '../../../../stand-ins/unwrapResult/index.js';
import { ApplyOutcome } from '../../replication/ControlLog/index.js';
import KeptControl from './index.js';

const MEMBER_COUNT = 3;

const createFolder = async (t: Test): Promise<string> => {
  const folder = await mkdtemp(join(tmpdir(), 'foxtailvane-kept-'));
  t.teardown(() => rm(folder, { recursive: true, force: true }));
  return folder;
};

/** Makes each write of a member fail, as on a full disk, until the returned function is called. */
const fillDisk = (cluster: ControlCluster, memberId: string): (() => void) => {
  const files = cluster.files(memberId);
  files.before = (operation) => {
    if (operation !== 'append' && operation !== 'create') return;
    throw Object.assign(new Error('no space left on device'), { code: 'ENOSPC' });
  };
  return () => {
    files.before = () => undefined;
  };
};

// Guards against control VMs that stay inactive after a full disk, until no majority is left.
tap.test('changes are accepted after the disks of all members were full in turn', async (t) => {
  const cluster = await ControlCluster.create({ seed: 44, memberCount: MEMBER_COUNT });
  const kept = await Promise.all(
    cluster.memberIds().map(async (memberId) => {
      const opened = await KeptControl.open(cluster.dataFolder(memberId), async () => {
        const member = await cluster.startMember(memberId);
        return ok({ hasFailed: () => member.hasFailed, close: () => cluster.stopMember(memberId) });
      });
      return { memberId, control: unwrapResult(opened) };
    }),
  );
  t.teardown(async () => {
    await Promise.all(kept.map(({ control }) => control.close()));
    await cluster.close();
  });
  let version = 0;
  const applyNext = async (): Promise<ApplyOutcome | undefined> => {
    version += 1;
    const leader = cluster.log(await cluster.waitForLeader());
    return (await leader.propose(createChange(version, 4), Date.now())).outcome;
  };
  t.equal(await applyNext(), ApplyOutcome.Accepted);
  for (let index = 0; index < kept.length; index += 1) {
    const { memberId = '', control } = kept[index] ?? {};
    const failed = control?.current;
    const makeRoom = fillDisk(cluster, memberId);
    // The change may be accepted by the others, or fail with a leader whose disk is full.
    while (!failed?.hasFailed()) await applyNext().catch(() => undefined);
    makeRoom();
    await waitUntil(() => control?.current !== failed, `${memberId} is reopened`);
  }
  await waitUntil(
    () => kept.every(({ control }) => !control.current.hasFailed()),
    'all members are active',
  );
  const outcomes: (ApplyOutcome | undefined)[] = [];
  while (outcomes.at(-1) !== ApplyOutcome.Accepted && outcomes.length < 10) {
    outcomes.push(await applyNext().catch(() => undefined));
  }
  t.equal(outcomes.at(-1), ApplyOutcome.Accepted, outcomes.join());
});

// Guards against a process that does not end because it still waits for its disk.
tap.test('closing ends the wait for the disk', async (t) => {
  const folder = await createFolder(t);
  let closedCount = 0;
  const opened = await KeptControl.open(folder, async () =>
    ok({
      hasFailed: () => false,
      close: async () => {
        closedCount += 1;
      },
    }),
  );
  const startedAtMs = performance.now();
  await unwrapResult(opened).close();
  t.equal(closedCount, 1);
  t.ok(performance.now() - startedAtMs < 5_000);
});
