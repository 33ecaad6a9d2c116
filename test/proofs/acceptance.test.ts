/** Accepted versions are not lost when leaders, data centres or disks fail. */
import tap from 'tap';

import type { Test } from 'tap';
import { createOrderDeskSheet } from '../../stand-ins/createSheet/index.js';
import waitFor from '../../stand-ins/waitFor/index.js';
import { chooseCount, startCluster, startDeskServers, waitUntilAnswered } from '../_lib/proof.js';
import { assertMonotonicVersions, watchVersions } from '../_lib/watchVersions.js';

import type { ApplyAnswer, ControlMember, TestCluster } from '../../stand-ins/cluster/index.js';

const LEADER_KILLS = chooseCount(3, 20);
const CONFLICT_ROUNDS = chooseCount(15, 100);

interface HistoryEntry {
  version: number;
  contentHash: string;
  requestId: string;
}

const readHistory = (control: ControlMember): Promise<HistoryEntry[]> =>
  control.operator.read<HistoryEntry[]>('/v1/history');

const listHistory = async (control: ControlMember): Promise<string[]> =>
  (await readHistory(control)).map((entry) => `${entry.version} ${entry.contentHash}`);

/** Waits until all running control VMs have the same history that ends with the given version. */
const waitForSameHistory = (cluster: TestCluster, version: number): Promise<string[]> =>
  waitFor(`the same history up to version ${version}`, async () => {
    const all = await Promise.all(cluster.runningControls.map(listHistory));
    const [first] = all;
    const isSame = all.every((one) => JSON.stringify(one) === JSON.stringify(first));
    return isSame && first!.at(-1)?.startsWith(`${version} `) ? first : undefined;
  });

/** Asserts that the history contains every version that was reported to an operator as accepted. */
const assertNoneLost = (t: Test, history: string[], accepted: Map<number, string>): void => {
  const versions = new Map(history.map((line) => line.split(' ') as [string, string]));
  const lost = [...accepted].filter(([version, hash]) => versions.get(String(version)) !== hash);
  t.strictSame(lost, [], 'every version reported as accepted is kept');
};

const recordAccepted = (
  accepted: Map<number, string>,
  version: number,
  answer: ApplyAnswer,
): void => {
  if (answer.holder === undefined) return;
  if (['ACCEPTED', 'ALREADY_ACCEPTED'].includes(answer.outcome)) {
    accepted.set(version, answer.holder.contentHash);
  }
};

tap.test('acceptance under failures', async (t) => {
  const cluster = await startCluster(t, { nodesPerDataCentre: 1, isProxied: true });
  await startDeskServers(cluster);
  const watch = watchVersions(cluster);
  const accepted = new Map<number, string>();
  let version = 1;
  const applyNext = async (controls: ControlMember[]): Promise<ApplyAnswer[]> => {
    version += 1;
    const current = version;
    const sheet = createOrderDeskSheet({ marker: current });
    const answers = await Promise.all(
      controls.map((control) =>
        control.operator.apply(current, sheet, { requestId: `${control.name}-${current}` }),
      ),
    );
    answers.forEach((answer) => recordAccepted(accepted, current, answer));
    return answers;
  };

  await t.test(
    'kill -9 of the leader during concurrent applies loses no accepted version',
    async (t2) => {
      for (let round = 0; round < LEADER_KILLS; round += 1) {
        const leader = await cluster.waitForLeader();
        const applies = [applyNext(cluster.controls), applyNext(cluster.controls)];
        await new Promise((resolve) => {
          setTimeout(resolve, round * 3);
        });
        await leader.process.kill();
        await Promise.all(applies);
        await applyNext(cluster.runningControls);
        leader.process.start();
        await cluster.waitForLeader();
        await cluster.applyUntilAccepted(version, createOrderDeskSheet({ marker: version }));
        assertNoneLost(t2, await waitForSameHistory(cluster, version), accepted);
      }
      await cluster.waitForVersion(version);
    },
  );

  await t.test(
    'a partitioned data centre keeps serving, accepts no version and catches up',
    async (t2) => {
      const dataCentres = ['dc-1', 'dc-2', 'dc-3'];
      for (let index = 0; index < dataCentres.length; index += 1) {
        const dataCentre = dataCentres[index]!;
        const { controls, nodes } = cluster.listDataCentreMembers(dataCentre);
        cluster.partition(dataCentre);
        const majority = cluster.controls.filter((control) => control.dataCentre !== dataCentre);
        await waitFor('acceptance by the majority', async () => {
          const answers = await applyNext(majority);
          return answers.some((answer) => answer.outcome === 'ACCEPTED');
        });
        const before = version;
        const [minority] = await applyNext(controls);
        t2.notMatch(minority!.outcome, /ACCEPTED/, `${dataCentre} alone accepts no version`);
        await waitUntilAnswered(nodes);
        cluster.heal();
        await cluster.waitForLeader();
        await cluster.applyUntilAccepted(version, createOrderDeskSheet({ marker: version }));
        t2.ok(version > before);
        assertNoneLost(t2, await waitForSameHistory(cluster, version), accepted);
        await cluster.waitForVersion(version);
      }
    },
  );

  await t.test(
    'exactly one of two concurrent sheets with the same version is accepted',
    async (t2) => {
      for (let round = 0; round < CONFLICT_ROUNDS; round += 1) {
        version += 1;
        const current = version;
        const answers = await Promise.all(
          [0, 1].map((operator) =>
            cluster.controls[(round + operator) % cluster.controls.length]!.operator.apply(
              current,
              createOrderDeskSheet({ marker: 10_000 + 2 * current + operator }),
              { operator: `operator-${operator}` },
            ),
          ),
        );
        answers.forEach((answer) => recordAccepted(accepted, current, answer));
        const outcomes = answers.map((answer) => answer.outcome).sort();
        t2.strictSame(outcomes, ['ACCEPTED', 'CONFLICT'], `version ${current}`);
        const winner = answers.findIndex((answer) => answer.outcome === 'ACCEPTED');
        const loser = answers.find((answer) => answer.outcome === 'CONFLICT');
        t2.equal(
          loser?.holder?.operator,
          `operator-${winner}`,
          'the conflict names the operator whose sheet was accepted',
        );
      }
      assertNoneLost(t2, await waitForSameHistory(cluster, version), accepted);
      await cluster.waitForVersion(version);
    },
  );

  await t.test(
    'two disks lost one after the other, with a repair between, lose no version',
    async (t2) => {
      for (let index = 0; index < 2; index += 1) {
        const lost = cluster.controls[index]!;
        const readMember = async () => {
          const status = await (await cluster.waitForLeader()).operator.readStatus();
          return status.members.find((member) => member.memberId === lost.name);
        };
        const identity = (await readMember())?.diskIdentity;
        await lost.process.kill();
        lost.wipeDisk();
        lost.process.start();
        await cluster.applyUntilAccepted(
          version + 1,
          createOrderDeskSheet({ marker: version + 1 }),
        );
        version += 1;
        await waitFor('promotion after the repair', async () => {
          const member = await readMember();
          return member?.isVoter === true && member.diskIdentity !== identity;
        });
        assertNoneLost(t2, await waitForSameHistory(cluster, version), accepted);
      }
      await cluster.waitForVersion(version);
    },
  );

  await assertMonotonicVersions(t, watch);
});
