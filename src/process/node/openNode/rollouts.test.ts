/** Nodes with roll-outs, with a decider that the test plays itself. */
import { createServer } from 'node:http';

import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import type { Server } from 'node:http';
import type { Test } from 'tap';
import { RolloutSetSchema, RolloutStage } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import {
  buildConfiguration,
  startControl,
  waitUntil,
} from '../../../../stand-ins/distributionCluster/index.js';
import { createRoute, listenOnLoopback, send } from '../../../../test/requestMesh/index.js';
import { expectOk } from '../../../../stand-ins/results/index.js';
import { AnnouncedState } from '../../localServers/index.js';
import { openNode } from './index.js';

import type { Rollout, RolloutSet } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { TestControl } from '../../../../stand-ins/distributionCluster/index.js';
import type { OpenedNode } from './index.js';

const SERVICE = 'desk';
const ANY_PORT = '127.0.0.1:0';
const NODE_COUNT = 3;
const REQUESTS_PER_NODE = 120;
const SHARE_PERMILLE = 100;

const CONFIGURATION = buildConfiguration(1, {
  services: [{ name: SERVICE, timeoutMs: 5_000 }],
  routes: [createRoute({ name: 'lookups' })],
});

interface TestFleet {
  control: TestControl;
  nodes: OpenedNode[];
  /** Requests that the servers of each version have run. */
  runs: Record<string, number>;
  /** Puts the roll-out into a stage, as the leader of the control VMs does. */
  decide: (stage: RolloutStage) => void;
}

const startFleet = async (t: Test, findStatus: (version: string) => number): Promise<TestFleet> => {
  let set: RolloutSet = create(RolloutSetSchema, {});
  const control = await startControl('control-1', {
    readRollouts: () => set,
    heartbeatIntervalMs: 100,
  });
  control.log.commit(CONFIGURATION, Date.now());
  const runs: Record<string, number> = { v1: 0, v2: 0 };
  const backends: Server[] = [];
  const startBackend = async (node: OpenedNode, softwareVersion: string, bornAtMs: number) => {
    const server = createServer((request, response) => {
      if (request.url === '/') runs[softwareVersion] = (runs[softwareVersion] ?? 0) + 1;
      response.statusCode = findStatus(softwareVersion);
      response.end(softwareVersion);
    });
    backends.push(server);
    const address = await listenOnLoopback(server);
    const state = AnnouncedState.Serving;
    const limits = { slots: 20, connections: 20, bornAtMs, sequence: 1 };
    const announcement = { service: SERVICE, address, state, softwareVersion, ...limits };
    node.localServers.announce(`${softwareVersion}-${address}`, announcement, Date.now());
  };
  const nodes = await Promise.all(
    Array.from({ length: NODE_COUNT }, async (_, index) => {
      const opened = await openNode({
        nodeId: `node-${index}`,
        dataCentre: 'dc1',
        ...{ listen: ANY_PORT, forwardListen: ANY_PORT, peerListen: ANY_PORT },
        ...{ forwardAddress: '', peerAddress: '' },
        controls: [control],
        startedAtMs: Date.now(),
        hasRollouts: true,
        linkTiming: { heartbeatIntervalMs: 100 },
        servers: { leaseMs: 600_000 },
        requests: { probeIntervalMs: 0 },
      });
      const node = expectOk(opened);
      const { forwardListen: forwardAddress, peerListen: peerAddress } = node;
      node.localServers.setAddresses({ forwardAddress, peerAddress });
      await startBackend(node, 'v1', 1_000);
      await startBackend(node, 'v2', 2_000);
      node.link.start();
      return node;
    }),
  );
  t.teardown(async () => {
    await Promise.all(nodes.map((node) => node.close()));
    await control.stop();
    backends.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  });
  await waitUntil('all nodes know all servers', () =>
    nodes.every(
      ({ link, directory }) =>
        link.isCurrent(Date.now()) && directory.serversOf(SERVICE).length === 2 * NODE_COUNT,
    ),
  );
  const decide = (stage: RolloutStage): void => {
    const rollout = { id: 1, service: SERVICE, targetVersion: 'v2', stage };
    const rollouts = [{ ...rollout, sharePermille: SHARE_PERMILLE }] as Rollout[];
    set = create(RolloutSetSchema, { revision: set.revision + 1, rollouts });
    control.hub.wakeSessions();
  };
  return { control, nodes, runs, decide };
};

/** Sends requests to all nodes; returns how many each version has run. */
const sendLoad = async ({ nodes, runs }: TestFleet): Promise<Record<string, number>> => {
  const before = { ...runs };
  await Promise.all(
    nodes.map(async ({ listen: address }) => {
      for (let sent = 0; sent < REQUESTS_PER_NODE; sent += 1) await send(address);
    }),
  );
  return Object.fromEntries(
    Object.entries(runs).map(([version, count]) => [version, count - (before[version] ?? 0)]),
  );
};

const waitForRevision = ({ control }: TestFleet, revision: number): Promise<void> =>
  waitUntil(`all nodes use revision ${revision}`, () => {
    const reports = control.hub.trafficReports.list();
    return reports.length === NODE_COUNT && reports.every((it) => it.rolloutRevision === revision);
  });

const sumEvidence = ({ control }: TestFleet, version: string) =>
  control.hub.trafficReports
    .list()
    .flatMap(({ evidence }) => evidence)
    .filter(({ softwareVersion }) => softwareVersion === version)
    .reduce(
      (sum, { requests, failures }) => ({
        requests: sum.requests + Number(requests),
        failures: sum.failures + Number(failures),
      }),
      { requests: 0, failures: 0 },
    );

// Guards against a bad version that gets requests before the order, beyond its share, or after it was
// taken back, and against evidence that does not reach the control VMs.
tap.test('a bad version gets its share and nothing after the rollback', async (t) => {
  const fleet = await startFleet(t, (version) => (version === 'v2' ? 500 : 200));
  t.equal((await sendLoad(fleet)).v2, 0, 'not before the order');
  fleet.decide(RolloutStage.CANARY);
  await waitForRevision(fleet, 1);
  const canary = await sendLoad(fleet);
  const total = NODE_COUNT * REQUESTS_PER_NODE;
  const exposed = canary.v2 ?? 0;
  t.ok(exposed > 0.7 * 0.1 * total, `${exposed} of ${total}`);
  t.ok(exposed <= 0.1 * total + NODE_COUNT, `${exposed} of ${total}`);
  await waitUntil(
    'the evidence of both versions has arrived',
    () =>
      sumEvidence(fleet, 'v2').failures === exposed &&
      sumEvidence(fleet, 'v1').requests >= total - exposed,
  );
  t.equal(sumEvidence(fleet, 'v1').failures, 0);
  t.equal(sumEvidence(fleet, 'v1').requests, total - exposed);
  fleet.decide(RolloutStage.ROLLED_BACK);
  await waitForRevision(fleet, 2);
  t.strictSame(await sendLoad(fleet), { v1: total, v2: 0 });
});

tap.test('a good version takes over all requests', async (t) => {
  const fleet = await startFleet(t, () => 200);
  fleet.decide(RolloutStage.CANARY);
  await waitForRevision(fleet, 1);
  await sendLoad(fleet);
  fleet.decide(RolloutStage.PROMOTING);
  await waitForRevision(fleet, 2);
  const total = NODE_COUNT * REQUESTS_PER_NODE;
  t.strictSame(await sendLoad(fleet), { v1: 0, v2: total });
  fleet.decide(RolloutStage.COMPLETED);
  await waitForRevision(fleet, 3);
  t.strictSame(await sendLoad(fleet), { v1: 0, v2: total });
});
