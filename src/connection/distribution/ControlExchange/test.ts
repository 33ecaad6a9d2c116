import tap from 'tap';

import {
  buildSizedConfiguration,
  startControl,
  startNode,
  waitUntil,
} from '../../../../stand-ins/distributionCluster/index.js';

import type { ExchangePeer } from './index.js';

tap.test('control VMs list all nodes, those of an unreachable one as disconnected', async (t) => {
  const peers: ExchangePeer[] = [];
  const listPeers = (): ExchangePeer[] => peers;
  const first = await startControl('control-1', { listPeers, heartbeatIntervalMs: 100 });
  const second = await startControl('control-2', { listPeers, heartbeatIntervalMs: 100 });
  peers.push(first, second);
  const nodes = [startNode('node-1', [first]), startNode('node-2', [second])];
  t.teardown(async () => {
    await Promise.all(nodes.map((node) => node.stop()));
    await first.stop();
    await second.stop();
  });

  await waitUntil('both nodes list both servers', () =>
    nodes.every((node) => node.directory.serversOf('service-000').length === 2),
  );
  [first, second].forEach((control) => control.log.commit(buildSizedConfiguration(1), Date.now()));
  await waitUntil('both control VMs list version 1 on both nodes', () =>
    [first, second].every(
      (control) =>
        control.hub.nodeStatuses.listStatuses(() => true).filter((status) => status.version === 1)
          .length === 2,
    ),
  );

  await second.stop();
  await waitUntil(
    'control-2 is unreachable',
    () => !first.exchange.readStatus().some((status) => status.isReachable),
  );
  const statuses = await first.exchange.readNodeStatuses();
  t.strictSame(
    statuses.map(({ nodeId, version, isConnected }) => ({ nodeId, version, isConnected })),
    [
      { nodeId: 'node-1', version: 1, isConnected: true },
      { nodeId: 'node-2', version: 1, isConnected: false },
    ],
  );
});
