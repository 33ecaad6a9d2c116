/** Orders and deliveries under failures: at most once, true refusals, exact answers. */
import tap from 'tap';

import type { Test } from 'tap';
import { BackendFault, ProbeBehaviour } from '../../stand-ins/backendServer/index.js';
import { LinkFault } from '../../stand-ins/faultProxy/index.js';
import {
  assertInvariants,
  chooseCount,
  sendDuring,
  startCluster,
  startDesk,
  waitUntilAnswered,
} from '../_lib/proof.js';

import type { BackendMember, TestCluster } from '../../stand-ins/cluster/index.js';

const ROUNDS = chooseCount(1, 5);
const FAULT_MS = chooseCount(1_500, 5_000);
const SERVER_FLAGS = ['--slots', '20', '--service-ms', '10'];

const pause = (timeMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, timeMs);
  });

const findServer = (cluster: TestCluster): BackendMember =>
  cluster.backends.find((backend) => backend.serverId.startsWith('order-desk'))!;

/** Runs a failure under load several times, then checks the invariants and the recovery. */
const proveUnderLoad = async (
  t: Test,
  cluster: TestCluster,
  fail: () => Promise<void>,
  recover: () => Promise<void>,
): Promise<void> => {
  const sent = await sendDuring(cluster, async () => {
    for (let round = 0; round < ROUNDS; round += 1) {
      await pause(300);
      await fail();
      await pause(FAULT_MS);
      await recover();
      await waitUntilAnswered(cluster.nodes);
    }
  });
  assertInvariants(t, cluster, sent);
};

tap.test('orders and deliveries under failures', async (t) => {
  const cluster = await startCluster(t, { nodesPerDataCentre: 2, isProxied: true });
  await startDesk(cluster, { flags: SERVER_FLAGS, isProxied: true });
  const server = findServer(cluster);
  const { nodes } = cluster.listDataCentreMembers('dc-1');

  await t.test('kill -9 of a node doubles no order', async (t2) => {
    const [node] = nodes;
    await proveUnderLoad(
      t2,
      cluster,
      () => node!.process.kill(),
      async () => node!.process.start(),
    );
  });

  await t.test('kill -9 of all nodes of a data centre doubles no order', async (t2) => {
    await proveUnderLoad(
      t2,
      cluster,
      async () => {
        await Promise.all(nodes.map((node) => node.process.kill()));
      },
      async () => nodes.forEach((node) => node.process.start()),
    );
  });

  await t.test(
    'a paused node that continues late answers nobody with a stale answer',
    async (t2) => {
      const [node] = nodes;
      await proveUnderLoad(
        t2,
        cluster,
        async () => node!.process.pause(),
        async () => node!.process.resume(),
      );
    },
  );

  await t.test(
    'a server that dies in the middle of an answer truncates none unseen',
    async (t2) => {
      await proveUnderLoad(
        t2,
        cluster,
        () => cluster.setFaults(server, { fault: BackendFault.CrashDuringResponse }),
        async () => {
          await server.process.exited;
          await cluster.restartBackend(server);
        },
      );
    },
  );

  const faults = [
    BackendFault.Slow,
    BackendFault.FailAll,
    BackendFault.CloseWhileReading,
    BackendFault.RespondBeforeBody,
  ];
  for (let index = 0; index < faults.length; index += 1) {
    const fault = faults[index]!;
    await t.test(`server fault ${fault} with lying health doubles no order`, async (t2) => {
      await proveUnderLoad(
        t2,
        cluster,
        () => cluster.setFaults(server, { fault, probes: ProbeBehaviour.AlwaysHealthy }),
        () => cluster.setFaults(server, {}),
      );
    });
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
    await t.test(`a ${fault} link to a server doubles no order`, async (t2) => {
      await proveUnderLoad(
        t2,
        cluster,
        async () => server.proxy!.setLink({ fault }),
        async () => server.proxy!.setLink(),
      );
    });

    await t.test(`a ${fault} link between nodes doubles no order`, async (t2) => {
      await proveUnderLoad(
        t2,
        cluster,
        async () => server.node.forwardProxy!.setLink({ fault }),
        async () => server.node.forwardProxy!.setLink(),
      );
    });
  }

  await t.test(
    'a data centre cut off from the others serves on and doubles no order',
    async (t2) => {
      await proveUnderLoad(
        t2,
        cluster,
        async () => cluster.partition('dc-1'),
        async () => cluster.heal(),
      );
    },
  );
});
