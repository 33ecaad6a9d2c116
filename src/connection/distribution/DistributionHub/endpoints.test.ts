import { setTimeout as sleep } from 'node:timers/promises';

import tap from 'tap';

import { ServerState } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';
import {
  buildRecord,
  startControl,
  startNode,
  waitUntil,
} from '../../../../stand-ins/distributionCluster/index.js';
import { FaultProxy, LinkFault } from '../../../../stand-ins/faultProxy/index.js';

import type { TestControl, TestNode } from '../../../../stand-ins/distributionCluster/index.js';
import type { ExchangePeer } from '../ControlExchange/index.js';

/** Requirement: a draining server receives no new requests after this time. */
const DRAIN_LIMIT_MS = 2_000;

const readState = (node: TestNode, nodeId: string): ServerState | undefined =>
  node.directory.find(nodeId)?.servers[0]?.state;

const startPair = async (): Promise<[TestControl, TestControl]> => {
  const peers: ExchangePeer[] = [];
  const listPeers = (): ExchangePeer[] => peers;
  const first = await startControl('control-1', { listPeers });
  const second = await startControl('control-2', { listPeers, dataCentre: 'dc2' });
  peers.push(first, second);
  return [first, second];
};

tap.test('a drain reaches every node of every data centre within 2 s', async (t) => {
  const [first, second] = await startPair();
  const nodes = Array.from({ length: 10 }, (_, index) =>
    index % 2 === 0
      ? startNode(`node-${index}`, [first])
      : startNode(`node-${index}`, [second], { dataCentre: 'dc2' }),
  );
  t.teardown(async () => {
    await Promise.all(nodes.map((node) => node.stop()));
    await Promise.all([first.stop(), second.stop()]);
  });
  await waitUntil('every node lists every server', () =>
    nodes.every((node) => node.directory.serversOf('service-000').length === 10),
  );
  const [leaving] = nodes as [TestNode];
  const servers = leaving.source
    .record()
    .servers.map((server) => ({ ...server, state: ServerState.DRAINING }));
  const startedAtMs = performance.now();
  leaving.source.change({ servers });
  await waitUntil('all nodes received the drain', () =>
    nodes.every((node) => readState(node, 'node-0') === ServerState.DRAINING),
  );
  const elapsedMs = performance.now() - startedAtMs;
  t.comment(`drain reached ${nodes.length} nodes in ${elapsedMs.toFixed(0)} ms`);
  t.ok(elapsedMs < DRAIN_LIMIT_MS);
});

tap.test('servers of a crashed node are removed everywhere when its lease expires', async (t) => {
  const [first, second] = await startPair();
  const lost = startNode('node-1', [first]);
  const near = startNode('node-2', [first]);
  const far = startNode('node-3', [second], { dataCentre: 'dc2' });
  t.teardown(async () => {
    await Promise.all([near.stop(), far.stop()]);
    await Promise.all([first.stop(), second.stop()]);
  });
  await waitUntil('all nodes listed', () =>
    [near, far].every((node) => node.directory.serversOf('service-000').length === 3),
  );
  await lost.stop();
  t.ok(near.directory.find('node-1'), 'a lost stream alone does not remove a node');
  await waitUntil('removed', () =>
    [near, far].every((node) => node.directory.find('node-1') === undefined),
  );
  t.equal(far.directory.serversOf('service-000').length, 2);
});

tap.test(
  'a server that flaps within the window causes two updates, not one per change',
  async (t) => {
    const control = await startControl('control-1');
    const flapping = startNode('node-1', [control]);
    const other = startNode('node-2', [control]);
    t.teardown(async () => {
      await Promise.all([flapping.stop(), other.stop()]);
      await control.stop();
    });
    await waitUntil('all nodes listed', () =>
      [flapping, other].every((node) => node.directory.serversOf('service-000').length === 2),
    );
    const before = {
      records: flapping.link.meter.read('sent', 'record'),
      endpoints: other.link.meter.read('received', 'endpoints'),
    };
    const { servers } = flapping.source.record();
    const states = [ServerState.DRAINING, ServerState.SERVING];
    Array.from({ length: 200 }, (_, index) => states[index % 2] as ServerState).forEach((state) =>
      flapping.source.change({ servers: servers.map((server) => ({ ...server, state })) }),
    );
    flapping.source.change({ servers: [] });
    await waitUntil('the last state', () => other.directory.find('node-1')?.servers.length === 0);

    const recordBytes = flapping.link.meter.read('sent', 'record') - before.records;
    const endpointBytes = other.link.meter.read('received', 'endpoints') - before.endpoints;
    t.comment(`201 changes: ${recordBytes} bytes to the control VM, ${endpointBytes} to a node`);
    // One update is about 120 bytes; one per change would be above 20,000.
    t.ok(recordBytes < 300);
    t.ok(endpointBytes < 300);
  },
);

tap.test(
  'a node whose clock was set back supersedes its former incarnation everywhere',
  async (t) => {
    const [first, second] = await startPair();
    const observers = [
      startNode('node-2', [first]),
      startNode('node-3', [second], { dataCentre: 'dc2' }),
    ];
    const recordAt = (incarnation: bigint, forwardAddress: string) =>
      buildRecord('node-1', { incarnation, forwardAddress });
    const former = startNode('node-1', [first], { record: recordAt(9_000n, '127.0.0.1:7001') });
    await waitUntil('all nodes listed', () =>
      observers.every((node) => node.directory.find('node-1') !== undefined),
    );
    await former.stop();
    // It restarts at the other control VM, which received the former incarnation by the exchange only.
    const later = startNode('node-1', [second], {
      dataCentre: 'dc2',
      record: recordAt(5_000n, '127.0.0.1:7002'),
    });
    t.teardown(async () => {
      await Promise.all([...observers, later].map((node) => node.stop()));
      await Promise.all([first.stop(), second.stop()]);
    });
    await waitUntil('superseded', () =>
      observers.every((node) => node.directory.find('node-1')?.forwardAddress === '127.0.0.1:7002'),
    );
    t.ok((later.directory.find('node-1')?.incarnation ?? 0n) > 9_000n);
  },
);

tap.test('nodes keep their endpoints when every control VM is unreachable', async (t) => {
  const control = await startControl('control-1');
  const unlistedRecordMs = 200;
  const nodes = ['node-1', 'node-2'].map((nodeId) =>
    startNode(nodeId, [control], { unlistedRecordMs }),
  );
  t.teardown(() => Promise.all(nodes.map((node) => node.stop())));
  await waitUntil('all nodes listed', () =>
    nodes.every((node) => node.directory.serversOf('service-000').length === 2),
  );
  await control.stop();
  await waitUntil('detached', () => nodes.every((node) => node.link.attachedTo === undefined));
  await sleep(5 * unlistedRecordMs);
  t.ok(nodes.every((node) => node.directory.serversOf('service-000').length === 2));
});

tap.test('a control VM that restarts without its state removes no records', async (t) => {
  const control = await startControl('control-1');
  const nodes = ['node-1', 'node-2'].map((nodeId) => startNode(nodeId, [control]));
  t.teardown(() => Promise.all(nodes.map((node) => node.stop())));
  await waitUntil('all nodes listed', () =>
    nodes.every((node) => node.directory.serversOf('service-000').length === 2),
  );
  const removed: string[] = [];
  nodes.forEach((node) =>
    node.directory.onChanged((nodeId) => {
      if (node.directory.find(nodeId) === undefined) removed.push(nodeId);
    }),
  );
  await control.stop();
  await waitUntil('detached', () => nodes.every((node) => node.link.attachedTo === undefined));
  const restarted = await startControl('control-1', { address: control.address });
  t.teardown(() => restarted.stop());
  await waitUntil('attached again', () => restarted.hub.directory.records().length === 2);
  t.strictSame(removed, []);
});

tap.test('both sides detect a half-open stream, and the node reconnects', async (t) => {
  const control = await startControl('control-1', { silenceMs: 1_000, heartbeatIntervalMs: 200 });
  const proxy = new FaultProxy(control.address, { print: (line) => t.comment(line) });
  const address = await proxy.start();
  const timing = { silenceMs: 1_000, heartbeatIntervalMs: 200 };
  const node = startNode('node-1', [{ address, dataCentre: 'dc1' }], { timing });
  t.teardown(async () => {
    await node.stop();
    await proxy.stop();
    await control.stop();
  });
  await waitUntil('attached', () => node.link.attachedTo !== undefined);
  proxy.setLink({ fault: LinkFault.HalfOpen });
  await waitUntil('detected by the node', () => node.link.attachedTo === undefined);
  await waitUntil('detected by the control VM', () => control.hub.sessionCount === 0);
  proxy.setLink();
  await waitUntil('attached again', () => node.link.attachedTo !== undefined);
  t.pass();
});
