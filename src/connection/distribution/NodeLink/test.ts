import { create, toBinary } from '@bufbuild/protobuf';
import tap from 'tap';

import { ConfigurationSchema } from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import {
  AttachResponseSchema,
  DistributionService,
  RefusalCode,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import {
  buildSizedConfiguration,
  startControl,
  startNode,
  startPeerNode,
  waitUntil,
} from '../../../../stand-ins/distributionCluster/index.js';
import { expectError, expectOk } from '../../../../stand-ins/results/index.js';
import { compareStamps } from '../../../process/endpoints/_lib/compareStamps.js';
import { startRpcServer } from '../../startRpcServer/index.js';
import { ConfigurationHolder } from '../../../process/holder/ConfigurationHolder/index.js';
import { NotReadyReason, ReadyBasis } from '../ReadinessError/index.js';

import type { AttachRequest } from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import type { TestNode } from '../../../../stand-ins/distributionCluster/index.js';

/** A port that nothing listens on: reserved and never assigned by the system. */
const UNREACHABLE_TARGET = { address: '127.0.0.1:1', dataCentre: 'dc1' };

const readBasis = (node: TestNode): ReadyBasis | undefined =>
  node.link.isReadyToServe(Date.now()).unwrapOr(undefined as unknown as ReadyBasis);

const readReason = (node: TestNode): NotReadyReason =>
  expectError(node.link.isReadyToServe(Date.now())).code;

const createHolder = (version: number): ConfigurationHolder => {
  const holder = new ConfigurationHolder();
  expectOk(holder.install(buildSizedConfiguration(version), Date.now()));
  return holder;
};

tap.test('a node is ready only when the newest confirmed version is in force', async (t) => {
  const control = await startControl('control-1');
  const node = startNode('node-1', [control]);
  t.teardown(async () => {
    await node.stop();
    await control.stop();
  });
  t.equal(readReason(node), NotReadyReason.Unconfirmed);
  await waitUntil('attached', () => node.link.attachedTo !== undefined);
  await waitUntil('nothing accepted', () => readReason(node) === NotReadyReason.NothingAccepted);
  control.log.commit(buildSizedConfiguration(1), Date.now());
  await waitUntil('ready', () => node.link.isReadyToServe(Date.now()).isOk());
  t.equal(readBasis(node), ReadyBasis.ConfirmedControl);
  t.equal(node.holder.current()?.version, 1);
});

tap.test('a stale control VM cannot revert a node or make it ready', async (t) => {
  const stale = await startControl('control-1');
  stale.log.isLeaderKnown = false;
  stale.log.commit(buildSizedConfiguration(5), Date.now());
  const holder = createHolder(6);
  const node = startNode('node-1', [stale, UNREACHABLE_TARGET, { ...UNREACHABLE_TARGET }], {
    holder,
  });
  t.teardown(async () => {
    await node.stop();
    await stale.stop();
  });
  await waitUntil('attached', () => node.link.attachedTo !== undefined);
  stale.log.commit(buildSizedConfiguration(5, { firstTimeoutMs: 9 }), Date.now());
  await waitUntil(
    'a heartbeat after the commit',
    () => node.link.meter.read('received', 'heartbeat') > 24,
  );
  t.equal(holder.current()?.version, 6);
  t.equal(holder.current()?.configuration.routes[0]?.timeoutMs, 400);
  t.equal(readReason(node), NotReadyReason.Unconfirmed);
});

tap.test('a pushed older version is refused as a whole and reported', async (t) => {
  const requests: AttachRequest[] = [];
  const older = toBinary(ConfigurationSchema, buildSizedConfiguration(5));
  const server = await startRpcServer('127.0.0.1:0', {
    routes: (router) =>
      router.service(DistributionService, {
        async *attach(messages) {
          yield create(AttachResponseSchema, { kind: { case: 'snapshot', value: older } });
          for await (const message of messages) requests.push(message);
        },
      }),
  });
  const holder = createHolder(6);
  const node = startNode('node-1', [{ address: server.address, dataCentre: 'dc1' }], { holder });
  t.teardown(async () => {
    await node.stop();
    await server.close();
  });
  await waitUntil('refusal', () => requests.some((request) => request.kind.case === 'refusal'));
  const refusal = requests.find((request) => request.kind.case === 'refusal')?.kind.value;
  t.match(refusal, { version: 5, code: RefusalCode.OLDER, heldVersion: 6 });
  t.equal(holder.current()?.version, 6);
});

tap.test('without a leader, a majority of control VMs determines the newest version', async (t) => {
  const controls = await Promise.all(
    ['control-1', 'control-2', 'control-3'].map((memberId) => startControl(memberId)),
  );
  controls.forEach((control) => Object.assign(control.log, { isLeaderKnown: false }));
  controls.forEach((control) => control.log.commit(buildSizedConfiguration(4), Date.now()));
  // One follower has not received version 5; the node must not stop at version 4.
  controls
    .slice(1)
    .forEach((control) => control.log.commit(buildSizedConfiguration(5), Date.now()));
  const node = startNode('node-1', controls, { random: () => 0 });
  t.teardown(async () => {
    await node.stop();
    await Promise.all(controls.map((control) => control.stop()));
  });
  await waitUntil('ready', () => node.link.isReadyToServe(Date.now()).isOk());
  t.equal(readBasis(node), ReadyBasis.ControlMajority);
  t.equal(node.holder.current()?.version, 5);
});

tap.test('a restarted node without a control VM installs the version of its peers', async (t) => {
  const peers = await Promise.all(
    ['node-1', 'node-2'].map((nodeId) =>
      startPeerNode(nodeId, [UNREACHABLE_TARGET], { holder: createHolder(3) }),
    ),
  );
  const peerSeeds = peers.map((peer) => peer.peerAddress);
  const node = await startPeerNode('node-3', [UNREACHABLE_TARGET], { peerSeeds });
  t.teardown(() => Promise.all([...peers, node].map((started) => started.stop())));
  await waitUntil('ready', () => node.link.isReadyToServe(Date.now()).isOk());
  t.equal(readBasis(node), ReadyBasis.AllPeers);
  t.equal(node.holder.current()?.version, 3);
  await waitUntil(
    'the servers of the peers are known',
    () => node.directory.serversOf('service-000').length === 3,
  );
  await waitUntil('the peers list the new node', () =>
    peers.every((peer) => peer.directory.serversOf('service-000').length === 3),
  );
});

tap.test('a node that reaches neither a control VM nor a peer is not ready', async (t) => {
  const timing = { controlWaitMs: 100, gossipIntervalMs: 50 };
  const node = startNode('node-1', [UNREACHABLE_TARGET], { holder: createHolder(3), timing });
  t.teardown(() => node.stop());
  await waitUntil('isolated', () => readReason(node) === NotReadyReason.Isolated);
  t.pass();
});

tap.test('a node fails over to another data centre and returns to its own', async (t) => {
  const localControl = await startControl('control-1');
  const remoteControl = await startControl('control-2', { dataCentre: 'dc2' });
  const timing = { localProbeIntervalMs: 200 };
  const node = startNode('node-1', [localControl, remoteControl], { timing });
  t.teardown(async () => {
    await node.stop();
    await remoteControl.stop();
  });
  await waitUntil(
    'attached to the local control VM',
    () => node.link.attachedTo?.address === localControl.address,
  );
  await localControl.stop();
  await waitUntil(
    'attached to the remote control VM',
    () => node.link.attachedTo?.address === remoteControl.address,
  );
  remoteControl.log.commit(buildSizedConfiguration(2), Date.now());
  await waitUntil('version 2', () => node.holder.current()?.version === 2);
  const restarted = await startControl('control-1', { address: localControl.address });
  t.teardown(() => restarted.stop());
  await waitUntil(
    'attached to the local control VM again',
    () => node.link.attachedTo?.address === localControl.address,
  );
});

// Guards against a node that refuses unknown paths as unconfirmed while it changes its control VM,
// because it drops the confirmation of the former stream.
tap.test('a node that moves to another control VM stays current', async (t) => {
  const localControl = await startControl('control-1');
  const remoteControl = await startControl('control-2', { dataCentre: 'dc2' });
  localControl.log.commit(buildSizedConfiguration(1), Date.now());
  remoteControl.log.commit(buildSizedConfiguration(1), Date.now());
  const timing = { localProbeIntervalMs: 50 };
  const node = startNode('node-1', [remoteControl], { timing });
  t.teardown(async () => {
    await node.stop();
    await localControl.stop();
    await remoteControl.stop();
  });
  await waitUntil('current', () => node.link.isCurrent(Date.now()));
  let notCurrentCount = 0;
  const watch = setInterval(() => {
    if (!node.link.isCurrent(Date.now())) notCurrentCount += 1;
  }, 1);
  node.link.setControls([localControl, remoteControl]);
  await waitUntil(
    'attached to the local control VM',
    () => node.link.attachedTo?.address === localControl.address,
  );
  await waitUntil('confirmed by the local control VM', () => node.link.isCurrent(Date.now()));
  clearInterval(watch);
  t.equal(notCurrentCount, 0);
});

tap.test('a node leaves a control VM that lost its leader for a confirmed one', async (t) => {
  const localControl = await startControl('control-1');
  const remoteControl = await startControl('control-2', { dataCentre: 'dc2' });
  const timing = { localProbeIntervalMs: 100, unconfirmedTimeoutMs: 500 };
  const node = startNode('node-1', [localControl, remoteControl], { timing });
  t.teardown(async () => {
    await node.stop();
    await localControl.stop();
    await remoteControl.stop();
  });
  await waitUntil(
    'attached to the local control VM',
    () => node.link.attachedTo?.address === localControl.address,
  );
  localControl.log.isLeaderKnown = false;
  await waitUntil(
    'attached to the remote control VM',
    () => node.link.attachedTo?.address === remoteControl.address,
  );
  t.pass();
});

// Guards against a server that is missing in other data centres: the second control VM already knew
// the record, so it did not announce that the node is attached, and the lease expired at the first.
tap.test('a node that moved to another control VM stays listed at the former one', async (t) => {
  const peers: { memberId: string; address: string }[] = [];
  const shared = { heartbeatIntervalMs: 50, silenceMs: 400, windowMs: 10 };
  const options = { ...shared, listPeers: () => peers };
  const first = await startControl('control-1', options);
  const second = await startControl('control-2', options);
  peers.push(
    { memberId: 'control-1', address: first.address },
    { memberId: 'control-2', address: second.address },
  );
  const node = startNode('node-1', [first], { timing: { heartbeatIntervalMs: 50 } });
  t.teardown(async () => {
    await node.stop();
    await Promise.all([first.stop(), second.stop()]);
  });
  await waitUntil('attached to the first', () => first.hub.isAttached('node-1'));
  node.source.change({ draining: true });
  await waitUntil('received by the second', () => {
    const record = second.hub.directory.find('node-1');
    return record?.draining === true;
  });
  const known = second.hub.directory.find('node-1');
  node.link.setControls([{ address: second.address, dataCentre: 'dc1' }]);
  first.hub.stop();
  await waitUntil('attached to the second', () => second.hub.isAttached('node-1'));
  const offered = second.hub.directory.find('node-1');
  t.ok(offered && known && compareStamps(offered, known) > 0, 'it holds a newer state');
  first.hub.start();
  await new Promise((resolve) => {
    setTimeout(resolve, shared.silenceMs * 3);
  });
  t.equal(first.hub.directory.find('node-1')?.draining, true);
});

// Guards against nodes that cannot attach because their settings name only replaced control VMs.
tap.test('a node uses listed control VMs that its settings do not name', async (t) => {
  const second = await startControl('control-2');
  const named = [{ address: second.address, dataCentre: 'dc1' }];
  const first = await startControl('control-1', { listControls: () => named });
  const node = startNode('node-1', [{ address: first.address, dataCentre: '' }], {
    timing: { backoffBaseMs: 10, remoteFallbackDelayMs: 0 },
  });
  t.teardown(async () => {
    await node.stop();
    await second.stop();
  });
  await waitUntil('attached to the configured control VM', () => first.hub.isAttached('node-1'));
  await first.stop();
  await waitUntil('attached to the listed control VM', () => second.hub.isAttached('node-1'));
  // The node counts as attached from the first message of the stream, slightly later.
  await waitUntil(
    'attached according to the node',
    () => node.link.attachedTo?.address === second.address,
  );
});
