import tap from 'tap';

import {
  buildSizedConfiguration,
  startControl,
  startNode,
  waitUntil,
} from '../../../../stand-ins/distributionCluster/index.js';

tap.test('a committed version reaches every node, and a change is sent as a delta', async (t) => {
  const control = await startControl('control-1');
  const nodes = ['node-1', 'node-2', 'node-3'].map((nodeId) => startNode(nodeId, [control]));
  t.teardown(async () => {
    await Promise.all(nodes.map((node) => node.stop()));
    await control.stop();
  });

  control.log.commit(buildSizedConfiguration(1), Date.now());
  await waitUntil(
    'version 1 in force on all nodes',
    () =>
      control.hub.nodeStatuses.listOwnReports().filter((report) => report.version === 1).length ===
      3,
  );
  const snapshotBytes = control.hub.meter.read('sent', 'snapshot');
  control.log.commit(buildSizedConfiguration(2, { firstTimeoutMs: 450 }), Date.now());
  await waitUntil(
    'version 2 in force on all nodes',
    () =>
      control.hub.nodeStatuses.listOwnReports().filter((report) => report.version === 2).length ===
      3,
  );

  t.equal(control.hub.meter.read('sent', 'snapshot'), snapshotBytes, 'no second snapshot is sent');
  t.ok(control.hub.meter.read('sent', 'delta') < snapshotBytes / 20, 'a delta is far smaller');
  t.equal(control.hub.encodingCount, 3, 'two snapshots and one delta are encoded for three nodes');
  const reportBytes = nodes.map((node) => node.link.meter.read('sent', 'inForce'));
  t.ok(
    reportBytes.every((byteCount) => byteCount < 3 * 50),
    'each of the two versions is reported once, in about 50 bytes',
  );
  t.ok(nodes.every((node) => node.holder.current()?.matchRoute('*', '/path-000', 'GET')));
});

tap.test('a server announced by one node reaches all others', async (t) => {
  const control = await startControl('control-1');
  const nodes = ['node-1', 'node-2'].map((nodeId) => startNode(nodeId, [control]));
  t.teardown(async () => {
    await Promise.all(nodes.map((node) => node.stop()));
    await control.stop();
  });
  await waitUntil('both nodes list both servers', () =>
    nodes.every((node) => node.directory.serversOf('service-000').length === 2),
  );
  t.pass();
});
