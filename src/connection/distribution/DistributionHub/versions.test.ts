import tap from 'tap';

import { chooseSeed, createSeededRandom } from '../../../../stand-ins/createSeededRandom/index.js';
import {
  buildConfiguration,
  buildSizedConfiguration,
  startControl,
  startNode,
  waitUntil,
} from '../../../../stand-ins/distributionCluster/index.js';
import { FaultProxy, LinkFault } from '../../../../stand-ins/faultProxy/index.js';
import { ConfigurationHolder } from '../../../process/holder/ConfigurationHolder/index.js';

import type { TestControl, TestNode } from '../../../../stand-ins/distributionCluster/index.js';

const countAt = (control: TestControl, version: number): number =>
  control.hub.nodeStatuses.listOwnReports().filter((report) => report.version === version).length;

const stopAll = async (nodes: TestNode[], control: TestControl): Promise<void> => {
  await Promise.all(nodes.map((node) => node.stop()));
  await control.stop();
};

tap.test('a snapshot is sent when the delta would be larger', async (t) => {
  const control = await startControl('control-1');
  const nodes = [startNode('node-1', [control])];
  t.teardown(() => stopAll(nodes, control));
  control.log.commit(buildSizedConfiguration(1, { services: 3, routes: 40 }), Date.now());
  await waitUntil('version 1', () => countAt(control, 1) === 1);
  control.log.commit(buildConfiguration(2, { services: [{ name: 'desk' }] }), Date.now());
  await waitUntil('version 2', () => countAt(control, 2) === 1);
  t.equal(control.hub.meter.read('sent', 'delta'), 0, 'a delta would list every removed route');
});

tap.test(
  'a node that missed 500 versions gets one delta, or a snapshot after compaction',
  async (t) => {
    const control = await startControl('control-1');
    const holder = new ConfigurationHolder();
    const first = startNode('node-1', [control], { holder });
    control.log.commit(buildSizedConfiguration(1), Date.now());
    await waitUntil('version 1', () => countAt(control, 1) === 1);
    await first.stop();
    const missed = Array.from({ length: 500 }, (_, index) => index + 2);
    missed.forEach((version) =>
      control.log.commit(buildSizedConfiguration(version, { firstTimeoutMs: version }), Date.now()),
    );

    const installed: number[] = [];
    holder.onInstalled((compiled) => installed.push(compiled.version));
    const snapshotBytes = control.hub.meter.read('sent', 'snapshot');
    const second = startNode('node-1', [control], { holder });
    t.teardown(() => stopAll([second], control));
    await waitUntil('version 501', () => countAt(control, 501) === 1);
    t.strictSame(installed, [501], 'in one step');
    t.equal(control.hub.meter.read('sent', 'snapshot'), snapshotBytes);
    const deltaBytes = control.hub.meter.read('sent', 'delta');

    await second.stop();
    control.log.commit(buildSizedConfiguration(502), Date.now());
    control.log.removeBefore(502);
    const third = startNode('node-1', [control], { holder });
    t.teardown(() => third.stop());
    await waitUntil('version 502', () => countAt(control, 502) === 1);
    t.equal(control.hub.meter.read('sent', 'delta'), deltaBytes, 'the base is no longer available');
  },
);

tap.test(
  'an invalid version is refused as a whole, reported with its reason and later replaced',
  async (t) => {
    const control = await startControl('control-1');
    const nodes = ['node-1', 'node-2'].map((nodeId) => startNode(nodeId, [control]));
    t.teardown(() => stopAll(nodes, control));
    control.log.commit(buildSizedConfiguration(1), Date.now());
    await waitUntil('version 1', () => countAt(control, 1) === 2);

    const bad = buildConfiguration(2, {
      services: [{ name: 'desk' }],
      routes: [{ name: 'stock', targets: [{ service: 'lost', weightPercent: 100 }] }],
    });
    control.log.commit(bad, Date.now());
    const countRefusals = (): number =>
      control.hub.nodeStatuses.listOwnReports().filter((report) => report.refusedVersion === 2)
        .length;
    await waitUntil('both nodes refuse version 2', () => countRefusals() === 2);
    t.ok(nodes.every((node) => node.holder.current()?.version === 1));
    t.match(control.hub.nodeStatuses.find('node-1')?.refusalReason, 'undeclared service lost');

    // The base of the next delta is version 2, which no node holds; a snapshot is sent instead.
    control.log.commit(buildSizedConfiguration(3), Date.now());
    await waitUntil('version 3', () => countAt(control, 3) === 2);
    t.equal(countRefusals(), 0, 'the refusal is no longer reported');
  },
);

tap.test('the same version number with different content is refused and reported', async (t) => {
  const control = await startControl('control-1');
  const holder = new ConfigurationHolder();
  holder.install(buildSizedConfiguration(2, { firstTimeoutMs: 9 }), Date.now());
  const nodes = [startNode('node-1', [control], { holder })];
  t.teardown(() => stopAll(nodes, control));
  control.log.commit(buildSizedConfiguration(2), Date.now());
  await waitUntil('refusal', () => control.hub.nodeStatuses.find('node-1')?.refusedVersion === 2);
  t.equal(holder.current()?.configuration.routes[0]?.timeoutMs, 9);
});

tap.test('every node ends at the newest version when updates and reports cross', async (t) => {
  const seed = chooseSeed();
  t.comment(`SEED=${seed}`);
  const random = createSeededRandom(seed);
  const control = await startControl('control-1');
  const nodes = Array.from({ length: 8 }, (_, index) => startNode(`node-${index}`, [control]));
  t.teardown(() => stopAll(nodes, control));
  const installed = nodes.map((node) => {
    const versions: number[] = [];
    node.holder.onInstalled((compiled) => versions.push(compiled.version));
    return versions;
  });
  const commit = async (version: number): Promise<void> => {
    if (version > 60) return;
    const firstTimeoutMs = 1 + Math.floor(random() * 1_000);
    control.log.commit(buildSizedConfiguration(version, { firstTimeoutMs }), Date.now());
    await new Promise((resolve) => {
      setTimeout(resolve, random() * 10);
    });
    await commit(version + 1);
  };
  await commit(1);
  await waitUntil('version 60', () => countAt(control, 60) === nodes.length);
  t.ok(
    installed.every((versions) =>
      versions.every((version, index) => index === 0 || version > (versions[index - 1] ?? 0)),
    ),
    'no older version is installed',
  );
  t.equal(
    control.hub.meter.read('received', 'refusal'),
    0,
    'the base of each delta is held by the node',
  );
});

tap.test('a reconnect storm is admitted gradually, and every node gets its version', async (t) => {
  const seed = chooseSeed();
  t.comment(`SEED=${seed}`);
  const random = createSeededRandom(seed);
  const options = { snapshotSlots: 2, retryAfterMs: 20, random };
  const control = await startControl('control-1', options);
  control.log.commit(buildSizedConfiguration(1), Date.now());
  // The delay keeps snapshots in flight while other nodes connect.
  const proxy = new FaultProxy(control.address, { seed });
  const address = await proxy.start();
  proxy.setLink({ fault: LinkFault.Delay, delayMs: 20 });
  const target = { address, dataCentre: 'dc1' };
  const nodes = Array.from({ length: 40 }, (_, index) =>
    startNode(`node-${index}`, [target], { random }),
  );
  t.teardown(async () => {
    await stopAll(nodes, control);
    await proxy.stop();
  });
  await waitUntil('version 1', () => countAt(control, 1) === nodes.length);
  t.ok(control.hub.meter.read('sent', 'retryAfter') > 0, 'some nodes had to retry later');
  t.equal(control.hub.encodingCount, 1, 'one snapshot is encoded for all');
  await waitUntil('every node lists every server', () =>
    nodes.every((node) => node.directory.serversOf('service-000').length === nodes.length),
  );
  control.log.commit(buildSizedConfiguration(2), Date.now());
  await waitUntil('version 2', () => countAt(control, 2) === nodes.length);
});
