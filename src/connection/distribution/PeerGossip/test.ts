import { setTimeout as sleep } from 'node:timers/promises';

import tap from 'tap';

import { chooseSeed, createSeededRandom } from '../../../../stand-ins/createSeededRandom/index.js';
import {
  buildSizedConfiguration,
  startPeerNode,
  waitUntil,
} from '../../../../stand-ins/distributionCluster/index.js';
import { expectOk } from '../../../../stand-ins/results/index.js';
import { ConfigurationHolder } from '../../../process/holder/ConfigurationHolder/index.js';

import type { TestNode } from '../../../../stand-ins/distributionCluster/index.js';

const PEER_COUNT = 12;

/** An exchange with a peer has at most three calls, each limited to 1 s. */
const EXCHANGE_LIMIT_MS = 3_000;

/** A port that nothing listens on: reserved and never assigned by the system. */
const UNREACHABLE_TARGET = { address: '127.0.0.1:1', dataCentre: 'dc1' };

const startPeers = async (t: Pick<typeof tap, 'comment' | 'teardown'>): Promise<TestNode[]> => {
  const seed = chooseSeed();
  t.comment(`SEED=${seed}`);
  const random = createSeededRandom(seed);
  const first = await startPeerNode('node-0', [UNREACHABLE_TARGET], { random });
  const others = await Promise.all(
    Array.from({ length: PEER_COUNT - 1 }, (_, index) =>
      startPeerNode(`node-${index + 1}`, [UNREACHABLE_TARGET], {
        random,
        peerSeeds: [first.peerAddress],
      }),
    ),
  );
  const nodes = [first, ...others];
  t.teardown(() => Promise.all(nodes.map((node) => node.stop())));
  await waitUntil('every node lists every server', () =>
    nodes.every((node) => node.directory.serversOf('service-000').length === PEER_COUNT),
  );
  return nodes;
};

tap.test('a version of one peer reaches all peers, the next one as a delta', async (t) => {
  const nodes = await startPeers(t);
  const [first] = nodes as [TestNode];
  expectOk(first.holder.install(buildSizedConfiguration(1), Date.now()));
  await waitUntil('version 1', () => nodes.every((node) => node.holder.current()?.version === 1));
  const readBytes = (kind: string): number =>
    nodes.reduce((sum, node) => sum + node.link.meter.read('sent', kind), 0);
  // Exchanges that began before the last node had version 1 may still send it.
  await sleep(EXCHANGE_LIMIT_MS);
  const snapshotBytes = readBytes('snapshot');
  expectOk(first.holder.install(buildSizedConfiguration(2, { firstTimeoutMs: 9 }), Date.now()));
  await waitUntil('version 2', () => nodes.every((node) => node.holder.current()?.version === 2));
  t.comment(`snapshots ${snapshotBytes} bytes, deltas ${readBytes('delta')} bytes`);
  t.equal(readBytes('snapshot'), snapshotBytes, 'no second snapshot is sent');
  t.ok(readBytes('delta') < snapshotBytes / 5);
});

tap.test('a drain reaches all peers without a control VM within 2 s', async (t) => {
  const nodes = await startPeers(t);
  const [first] = nodes as [TestNode];
  const startedAtMs = performance.now();
  first.source.change({ draining: true });
  await waitUntil('all nodes received the drain', () =>
    nodes.every((node) => node.directory.find('node-0')?.draining === true),
  );
  const elapsedMs = performance.now() - startedAtMs;
  t.comment(`drain reached ${PEER_COUNT} peers in ${elapsedMs.toFixed(0)} ms`);
  t.ok(elapsedMs < 2_000);
});

tap.test('peers without a control VM send no new records while nothing changes', async (t) => {
  const nodes = await startPeers(t);
  const readSequences = (): unknown[] =>
    nodes.map((node) => node.directory.find(node.nodeId)?.sequence);
  const before = readSequences();
  // Meanwhile every node tries to connect to its control VM several times.
  await sleep(3_000);
  t.strictSame(readSequences(), before, 'a failed attempt changes no record');
});

tap.test('a peer with an older version cannot revert others', async (t) => {
  const nodes = await startPeers(t);
  const [first] = nodes as [TestNode];
  expectOk(first.holder.install(buildSizedConfiguration(4), Date.now()));
  await waitUntil('version 4', () => nodes.every((node) => node.holder.current()?.version === 4));
  const installed: number[] = [];
  nodes.forEach((node) => node.holder.onInstalled(({ version }) => installed.push(version)));

  const holder = new ConfigurationHolder();
  expectOk(holder.install(buildSizedConfiguration(3), Date.now()));
  const late = await startPeerNode('node-late', [UNREACHABLE_TARGET], {
    holder,
    peerSeeds: [first.peerAddress],
  });
  t.teardown(() => late.stop());
  await waitUntil('version 4 on the late peer', () => holder.current()?.version === 4);
  await waitUntil('every node lists the late peer', () =>
    nodes.every((node) => node.directory.find('node-late') !== undefined),
  );
  t.strictSame(installed, []);
});
