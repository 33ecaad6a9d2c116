/** Under failures, orders run at most once, refused ones do not run, and responses are complete. */
import tap from 'tap';

import type { Test } from 'tap';
import { BackendFault, ProbeBehaviour } from '../../stand-ins/backendServer/index.js';
import { LinkFault } from '../../stand-ins/faultProxy/index.js';
import {
  assertInvariants,
  chooseCount,
  sendDuring,
  startCluster,
  startDeskServers,
  waitUntilAnswered,
} from '../_lib/proof.js';

import type { BackendMember, TestCluster } from '../../stand-ins/cluster/index.js';

const ROUNDS = chooseCount(1, 5);
const FAULT_DURATION_MS = chooseCount(1_500, 5_000);
const SERVER_FLAGS = ['--slots', '20', '--service-ms', '10'];

const sleep = (timeMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, timeMs);
  });

const findServer = (cluster: TestCluster): BackendMember =>
  cluster.backends.find((backend) => backend.serverId.startsWith('order-desk'))!;

/** Injects a failure under load several times; checks the recovery each time and the invariants. */
const testFaultUnderLoad = async (
  t: Test,
  cluster: TestCluster,
  injectFault: () => Promise<void>,
  removeFault: () => Promise<void>,
): Promise<void> => {
  const sent = await sendDuring(cluster, async () => {
    for (let round = 0; round < ROUNDS; round += 1) {
      await sleep(300);
      await injectFault();
      await sleep(FAULT_DURATION_MS);
      await removeFault();
      await waitUntilAnswered(cluster.nodes);
    }
  });
  assertInvariants(t, cluster, sent);
};

tap.test('orders and deliveries under failures', async (t) => {
  const cluster = await startCluster(t, { nodesPerDataCentre: 2, isProxied: true });
  await startDeskServers(cluster, { flags: SERVER_FLAGS, isProxied: true });
  const server = findServer(cluster);
  const { nodes } = cluster.listDataCentreMembers('dc-1');

  await t.test('kill -9 of a node duplicates no order', async (t2) => {
    const [node] = nodes;
    await testFaultUnderLoad(
      t2,
      cluster,
      () => node!.process.kill(),
      async () => node!.process.start(),
    );
  });

  await t.test('kill -9 of all nodes of a data centre duplicates no order', async (t2) => {
    await testFaultUnderLoad(
      t2,
      cluster,
      async () => {
        await Promise.all(nodes.map((node) => node.process.kill()));
      },
      async () => nodes.forEach((node) => node.process.start()),
    );
  });

  await t.test('a node that resumes after a pause sends no stale response', async (t2) => {
    const [node] = nodes;
    await testFaultUnderLoad(
      t2,
      cluster,
      async () => node!.process.pause(),
      async () => node!.process.resume(),
    );
  });

  await t.test('a truncated response of a crashed server is detected', async (t2) => {
    await testFaultUnderLoad(
      t2,
      cluster,
      () => cluster.setFaults(server, { fault: BackendFault.CrashDuringResponse }),
      async () => {
        await server.process.exited;
        await cluster.restartBackend(server);
      },
    );
  });

  const faults = [
    BackendFault.Slow,
    BackendFault.FailAll,
    BackendFault.CloseWhileReading,
    BackendFault.RespondBeforeBody,
  ];
  for (let index = 0; index < faults.length; index += 1) {
    const fault = faults[index]!;
    await t.test(
      `server fault ${fault} with false health reports duplicates no order`,
      async (t2) => {
        await testFaultUnderLoad(
          t2,
          cluster,
          () => cluster.setFaults(server, { fault, probes: ProbeBehaviour.AlwaysHealthy }),
          () => cluster.setFaults(server, {}),
        );
      },
    );
  }

  const links = [
    LinkFault.Cut,
    LinkFault.HalfOpen,
    LinkFault.OnlyToTarget,
    LinkFault.Truncate,
    LinkFault.Reset,
  ];
  for (let index = 0; index < links.length; index += 1) {
    const fault = links[index]!;
    await t.test(`a ${fault} link to a server duplicates no order`, async (t2) => {
      await testFaultUnderLoad(
        t2,
        cluster,
        async () => server.proxy!.setLink({ fault }),
        async () => server.proxy!.setLink(),
      );
    });

    await t.test(`a ${fault} link between nodes duplicates no order`, async (t2) => {
      await testFaultUnderLoad(
        t2,
        cluster,
        async () => server.node.forwardProxy!.setLink({ fault }),
        async () => server.node.forwardProxy!.setLink(),
      );
    });
  }

  await t.test('a partitioned data centre keeps serving and duplicates no order', async (t2) => {
    await testFaultUnderLoad(
      t2,
      cluster,
      async () => cluster.partition('dc-1'),
      async () => cluster.heal(),
    );
  });
});
