/** Groups of processes fail and restart, also after many missed changes. */
import tap from 'tap';

import { createOrderDeskSheet } from '../../stand-ins/createSheet/index.js';
import {
  assertInvariants,
  chooseCount,
  sendDuring,
  startCluster,
  startDeskServers,
  waitUntilAnswered,
} from '../_lib/proof.js';
import { assertMonotonicVersions, watchVersions } from '../_lib/watchVersions.js';

const ROUNDS = chooseCount(1, 5);
const MISSED_CHANGES = chooseCount(60, 500);

tap.test('restarts of groups of processes', async (t) => {
  const cluster = await startCluster(t, { nodesPerDataCentre: chooseCount(2, 4) });
  await startDeskServers(cluster, { flags: ['--service-ms', '10'] });
  const watch = watchVersions(cluster);
  let version = 1;

  await t.test(
    'the cluster recovers when all processes of a data centre are killed and restarted',
    async (t2) => {
      const { controls, nodes } = cluster.listDataCentreMembers('dc-1');
      const servers = cluster.backends.filter((backend) => nodes.includes(backend.node));
      const processes = [...controls, ...nodes, ...servers].map((member) => member.process);
      const others = cluster.nodes.filter((node) => !nodes.includes(node));
      const sent = await sendDuring(
        cluster,
        async () => {
          for (let round = 0; round < ROUNDS; round += 1) {
            await Promise.all(processes.map((one) => one.kill()));
            await waitUntilAnswered(others);
            version += 1;
            await cluster.applyUntilAccepted(version, createOrderDeskSheet({ marker: version }));
            await cluster.waitForVersion(version, { nodes: others });
            [...controls, ...nodes].forEach((member) => member.process.start());
            await Promise.all(servers.map((server) => cluster.restartBackend(server)));
            await cluster.waitForVersion(version);
            await waitUntilAnswered(cluster.nodes);
          }
        },
        { entries: others },
      );
      assertInvariants(t2, cluster, sent);
    },
  );

  await t.test('a node and a control VM that missed many changes catch up', async () => {
    const { controls, nodes } = cluster.listDataCentreMembers('dc-1');
    const stoppedMembers = [controls[0]!, nodes[0]!];
    await Promise.all(stoppedMembers.map((member) => member.process.kill()));
    await cluster.waitForLeader();
    for (let change = 0; change < MISSED_CHANGES; change += 1) {
      version += 1;
      await cluster.applyUntilAccepted(version, createOrderDeskSheet({ marker: version }));
    }
    stoppedMembers.forEach((member) => member.process.start());
    await cluster.waitForVersion(version);
    await waitUntilAnswered(cluster.nodes);
  });

  await assertMonotonicVersions(t, watch);
});
