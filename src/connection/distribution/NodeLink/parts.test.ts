import { setTimeout } from 'node:timers/promises';

import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import {
  QuotaShareSchema,
  WorkspaceUsageSchema,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import {
  RolloutSetSchema,
  VersionEvidenceSchema,
} from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import {
  buildSizedConfiguration,
  startControl,
  startNode,
  startPeerNode,
  waitUntil,
} from '../../../../stand-ins/distributionCluster/index.js';
import { RolloutHolder } from '../../../process/holder/RolloutHolder/index.js';

import type { WorkspaceUsage } from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import type {
  RolloutSet,
  VersionEvidence,
} from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { TestControl } from '../../../../stand-ins/distributionCluster/index.js';
import type { TrafficSource } from '../../../process/trafficReports/types.js';

const UNREACHABLE_TARGET = { address: '127.0.0.1:1', dataCentre: 'dc1' };

const buildSet = (revision: number): RolloutSet => create(RolloutSetSchema, { revision });

class TestCounts implements TrafficSource {
  usage: WorkspaceUsage[] = [];

  evidence: VersionEvidence[] = [];

  collect(): { usage: WorkspaceUsage[]; evidence: VersionEvidence[] } {
    return { usage: this.usage, evidence: this.evidence };
  }

  addUsage(workspace: string, offered: number): void {
    const others = this.usage.filter((entry) => entry.workspace !== workspace);
    const entry = create(WorkspaceUsageSchema, { workspace, offered: BigInt(offered) });
    this.usage = [...others, entry];
  }

  addEvidence(route: string, requests: number): void {
    this.evidence = [create(VersionEvidenceSchema, { route, requests: BigInt(requests) })];
  }
}

const readOffered = ({ hub }: TestControl): Record<string, number> =>
  Object.fromEntries(
    hub.trafficReports
      .list()
      .flatMap(({ usage }) => usage.map((entry) => [entry.workspace, Number(entry.offered)])),
  );

// Guards against counts that a control VM lacks after a node has moved, or that are sent whole each time.
tap.test('counts reach every control VM, and only changed ones are sent', async (t) => {
  const peers: TestControl[] = [];
  const options = { listPeers: () => peers, heartbeatIntervalMs: 100 };
  const first = await startControl('control-1', options);
  const second = await startControl('control-2', options);
  peers.push(first, second);
  const counts = new TestCounts();
  counts.addUsage('reed', 1);
  counts.addUsage('sedge', 1);
  counts.addEvidence('orders', 3);
  const node = startNode('node-1', [first], { parts: { trafficSource: counts } });
  t.teardown(async () => {
    await node.stop();
    await second.stop();
  });
  await waitUntil('both hold both counts', () =>
    [first, second].every((control) => Object.keys(readOffered(control)).length === 2),
  );
  const [known] = second.hub.trafficReports.list();
  t.match(known, { nodeId: 'node-1', memberId: 'control-1', rolloutRevision: 0 });
  t.equal(known?.evidence[0]?.requests, 3n);

  const sentBytes = node.link.meter.read('sent', 'report');
  counts.addUsage('reed', 2);
  await waitUntil('the change arrived', () => readOffered(second).reed === 2);
  const changeBytes = node.link.meter.read('sent', 'report') - sentBytes;
  t.ok(changeBytes < sentBytes, `${changeBytes} bytes for one entry of ${sentBytes}`);
  t.ok(second.exchange.meter.read('received', 'reports') > 0, 'counted by kind');

  node.link.setControls([second]);
  await first.stop();
  counts.addUsage('rush', 7);
  await waitUntil('the node moved', () => readOffered(second).rush === 7);
  t.strictSame(readOffered(second), { sedge: 1, reed: 2, rush: 7 });
  t.equal(second.hub.trafficReports.list()[0]?.memberId, 'control-2');
});

// Guards against a node that is confirmed, and so may use a share of a version, before it knows the stage.
tap.test('roll-outs precede the first confirmation and follow each change', async (t) => {
  let set = buildSet(4);
  const control = await startControl('control-1', { readRollouts: () => set });
  control.log.commit(buildSizedConfiguration(1), Date.now());
  const rolloutHolder = new RolloutHolder();
  const node = startNode('node-1', [control], { parts: { rolloutHolder } });
  const seen: boolean[] = [];
  const watch = setInterval(() => {
    if (node.link.isCurrent(Date.now())) seen.push(rolloutHolder.current()?.revision === 4);
  }, 1);
  t.teardown(async () => {
    await node.stop();
    await control.stop();
  });
  await waitUntil('current', () => seen.length > 0);
  clearInterval(watch);
  t.ok(seen.every((isKnown) => isKnown));
  set = buildSet(5);
  control.hub.wakeSessions();
  await waitUntil('revision 5', () => rolloutHolder.current()?.revision === 5);
  await waitUntil(
    'the control VM knows that the node uses revision 5',
    () => control.hub.trafficReports.list()[0]?.rolloutRevision === 5,
  );
});

// Guards against shares of a former control VM that stay in use, and against repeats of equal shares.
// Without renewals, a node could not tell a control VM that is silent from one without news.
tap.test('shares are sent after the attach and when they have changed, else renewed', async (t) => {
  let ratePerSecond = 10;
  let canGrant = true;
  const control = await startControl('control-1', {
    heartbeatIntervalMs: 100,
    computeShares: (nodeId) =>
      canGrant ? [create(QuotaShareSchema, { workspace: nodeId, ratePerSecond })] : undefined,
  });
  const rates: number[] = [];
  let renewalCount = 0;
  let releaseCount = 0;
  const quotaHolder = {
    adopt: ({ shares }: { shares: { ratePerSecond: number }[] }) => {
      rates.push(...shares.map((share) => share.ratePerSecond));
    },
    renew: () => {
      renewalCount += 1;
    },
    release: () => {
      releaseCount += 1;
    },
  };
  const node = startNode('node-1', [control], { parts: { quotaHolder } });
  t.teardown(async () => {
    await node.stop();
    await control.stop();
  });
  await waitUntil('first shares', () => rates.length === 1);
  const sentBytes = control.hub.meter.read('sent', 'heartbeat');
  await waitUntil(
    'several heartbeats',
    () => control.hub.meter.read('sent', 'heartbeat') > 4 * sentBytes,
  );
  ratePerSecond = 20;
  await waitUntil('changed shares', () => rates.length > 1);
  t.strictSame(rates, [10, 20]);
  await waitUntil('renewals', () => renewalCount > 1);
  canGrant = false;
  // A renewal may be on its way.
  await setTimeout(300);
  const renewedBefore = renewalCount;
  await setTimeout(600);
  t.equal(renewalCount, renewedBefore, 'nothing is renewed that cannot be granted');
  t.equal(releaseCount, 0);
  await control.stop();
  await waitUntil('the end of the stream ends the use of the shares', () => releaseCount > 0);
});

// Guards against messages of the parts in a deployment that uses none of them.
tap.test('nothing is sent where no part asks for it', async (t) => {
  const control = await startControl('control-1', { heartbeatIntervalMs: 50 });
  const node = startNode('node-1', [control], { timing: { reportIntervalMs: 10 } });
  t.teardown(async () => {
    await node.stop();
    await control.stop();
  });
  await waitUntil('some heartbeats', () => node.link.meter.read('received', 'heartbeat') > 60);
  t.equal(node.link.meter.read('sent', 'report'), 0);
  t.equal(control.hub.meter.read('sent', 'rollouts'), 0);
  t.equal(control.hub.meter.read('sent', 'quotaShares'), 0);
});

// Guards against a peer that was cut off and brings back a version that was rolled back meanwhile.
tap.test('peers without a control VM adopt the newest roll-outs, never older ones', async (t) => {
  const holders = [9, 7].map((revision) => {
    const holder = new RolloutHolder();
    holder.adopt(buildSet(revision));
    return holder;
  });
  const [newest, older] = holders as [RolloutHolder, RolloutHolder];
  const peer = await startPeerNode('node-1', [UNREACHABLE_TARGET], {
    parts: { rolloutHolder: newest },
  });
  const node = await startPeerNode('node-2', [UNREACHABLE_TARGET], {
    parts: { rolloutHolder: older },
    peerSeeds: [peer.peerAddress],
  });
  t.teardown(() => Promise.all([peer.stop(), node.stop()]));
  await waitUntil('revision 9', () => older.current()?.revision === 9);
  t.equal(newest.current()?.revision, 9);
  t.notOk(older.adopt(buildSet(8)));
});
