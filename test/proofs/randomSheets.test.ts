/** Random valid and invalid sheets: no partial installation, and no node reverts to an older one. */
import tap from 'tap';
import { request } from 'undici';

import type { Test } from 'tap';
import { createSeededRandom, drawInteger } from '../../stand-ins/createSeededRandom/index.js';
import { chooseCount, startCluster } from '../_lib/proof.js';
import { createRandomSheet, corruptSheet } from '../_lib/randomSheet.js';
import { assertMonotonicVersions, watchVersions } from '../_lib/watchVersions.js';

import type { NodeMember, TestCluster } from '../../stand-ins/cluster/index.js';

const SHEETS = chooseCount(40, 200);
const INVALID_EVERY = 5;
const CHECK_EVERY = 10;

interface Explanation {
  version: number;
  route?: string;
  targets: { service: string; weightPercent: number }[];
}

const explain = async (node: NodeMember, path: string): Promise<Explanation> => {
  const response = await request(`${node.localUrl}/explain?path=${path}&method=GET`);
  return (await response.body.json()) as Explanation;
};

/** Asserts that every node has all routes of a sheet and no route for an unknown path. */
const assertInstalledCompletely = async (
  t: Test,
  cluster: TestCluster,
  version: number,
  sheet: string,
): Promise<void> => {
  const rows = sheet.split('\n').map((line) => line.split(','));
  const routes = rows.filter(([kind]) => kind === 'route');
  const expected = routes.map((row) => `${version} ${row[1]} ${row[5]} ${row[6]}`);
  const lists = await Promise.all(
    cluster.nodes.map(async (node) => {
      const paths = [...new Set(routes.map((row) => row[3]!))];
      const found = await Promise.all(paths.map((path) => explain(node, path)));
      const missing = await explain(node, '/absent');
      t.equal(missing.route, undefined);
      return found.flatMap((one) =>
        one.targets.map(
          (target) => `${one.version} ${one.route} ${target.service} ${target.weightPercent}`,
        ),
      );
    }),
  );
  lists.forEach((list) =>
    t.strictSame(list.sort(), expected.sort(), `version ${version} is complete`),
  );
};

tap.test(
  'invalid sheets change nothing; valid ones are installed completely and in order',
  async (t) => {
    const cluster = await startCluster(t, { nodesPerDataCentre: 1 });
    const random = createSeededRandom(cluster.seed);
    const watch = watchVersions(cluster);
    const invalidVersions: number[] = [];
    for (let version = 1; version <= SHEETS; version += 1) {
      const isInvalid = version % INVALID_EVERY === 0;
      const sheet = createRandomSheet(random);
      const control = cluster.controls[drawInteger(random, 0, cluster.controls.length - 1)]!;
      const answer = await control.operator.apply(
        version,
        isInvalid ? corruptSheet(random, sheet) : sheet,
      );
      t.equal(answer.outcome, isInvalid ? 'INVALID' : 'ACCEPTED', `version ${version}`);
      if (isInvalid) invalidVersions.push(version);
      if (!isInvalid && version % CHECK_EVERY === 1) {
        await cluster.waitForVersion(version);
        await assertInstalledCompletely(t, cluster, version, sheet);
      }
    }
    const newest = SHEETS % INVALID_EVERY === 0 ? SHEETS - 1 : SHEETS;
    const status = await cluster.waitForVersion(newest);
    await assertMonotonicVersions(t, watch);
    t.notOk(
      invalidVersions.some((version) => watch.reportedVersions.has(version)),
      'no node reported an invalid version',
    );
    t.strictSame(
      status.nodes.list.filter((node) => node.refusedVersion),
      [],
      'no node refused a version',
    );
  },
);
