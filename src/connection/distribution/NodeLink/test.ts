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
const NOBODY = { address: '127.0.0.1:1', dataCentre: 'dc1' };

const readBasis = (node: TestNode): ReadyBasis | undefined =>
  node.link.isReadyToServe(Date.now()).unwrapOr(undefined as unknown as ReadyBasis);

const readReason = (node: TestNode): NotReadyReason =>
  expectError(node.link.isReadyToServe(Date.now())).code;

const holdVersion = (version: number): ConfigurationHolder => {
  const holder = new ConfigurationHolder();
  expectOk(holder.install(buildSizedConfiguration(version), Date.now()));
  return holder;
};

tap.test('a node serves only after the newest confirmed version is in force', async (t) => {
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

tap.test('a stale control VM cannot make a node revert, nor make it ready', async (t) => {
  const stale = await startControl('control-1');
  stale.log.isLeaderKnown = false;
  stale.log.commit(buildSizedConfiguration(5), Date.now());
  const holder = holdVersion(6);
  const node = startNode('node-1', [stale, NOBODY, { ...NOBODY }], { holder });
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

tap.test('an older version is refused whole and reported, even when it is pushed', async (t) => {
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
  const holder = holdVersion(6);
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

tap.test(
  'without a leader, a majority of control VMs decides which version is newest',
  async (t) => {
    const controls = await Promise.all(
      ['control-1', 'control-2', 'control-3'].map((memberId) => startControl(memberId)),
    );
    controls.forEach((control) => Object.assign(control.log, { isLeaderKnown: false }));
    controls.forEach((control) => control.log.commit(buildSizedConfiguration(4), Date.now()));
    // One follower has not learnt of version 5; the node must not stop at version 4.
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
  },
);

tap.test('a restarted node that is cut off takes the version of its peers', async (t) => {
  const peers = await Promise.all(
    ['node-1', 'node-2'].map((nodeId) =>
      startPeerNode(nodeId, [NOBODY], { holder: holdVersion(3) }),
    ),
  );
  const peerSeeds = peers.map((peer) => peer.peerAddress);
  const node = await startPeerNode('node-3', [NOBODY], { peerSeeds });
  t.teardown(() => Promise.all([...peers, node].map((started) => started.stop())));
  await waitUntil('ready', () => node.link.isReadyToServe(Date.now()).isOk());
  t.equal(readBasis(node), ReadyBasis.AllPeers);
  t.equal(node.holder.current()?.version, 3);
  await waitUntil(
    'servers beside the peers are known',
    () => node.directory.serversOf('service-000').length === 3,
  );
  await waitUntil('the peers know the new node', () =>
    peers.every((peer) => peer.directory.serversOf('service-000').length === 3),
  );
});

tap.test('a node that reaches neither a control VM nor a peer does not serve', async (t) => {
  const timing = { cutOffAfterMs: 100, gossipIntervalMs: 50 };
  const node = startNode('node-1', [NOBODY], { holder: holdVersion(3), timing });
  t.teardown(() => node.stop());
  await waitUntil('isolated', () => readReason(node) === NotReadyReason.Isolated);
  t.pass();
});

tap.test(
  'a node without the control VM of its data centre attaches elsewhere, then returns',
  async (t) => {
    const home = await startControl('control-1');
    const elsewhere = await startControl('control-2', { dataCentre: 'dc2' });
    const timing = { homeProbeIntervalMs: 200 };
    const node = startNode('node-1', [home, elsewhere], { timing });
    t.teardown(async () => {
      await node.stop();
      await elsewhere.stop();
    });
    await waitUntil('attached at home', () => node.link.attachedTo?.address === home.address);
    await home.stop();
    await waitUntil('elsewhere', () => node.link.attachedTo?.address === elsewhere.address);
    elsewhere.log.commit(buildSizedConfiguration(2), Date.now());
    await waitUntil('version 2', () => node.holder.current()?.version === 2);
    const restarted = await startControl('control-1', { address: home.address });
    t.teardown(() => restarted.stop());
    await waitUntil('home again', () => node.link.attachedTo?.address === home.address);
  },
);

// Guards against unknown paths that are refused as unconfirmed whenever a node changes its control VM.
tap.test('a node that moves to another control VM stays sure of its version', async (t) => {
  const home = await startControl('control-1');
  const elsewhere = await startControl('control-2', { dataCentre: 'dc2' });
  home.log.commit(buildSizedConfiguration(1), Date.now());
  elsewhere.log.commit(buildSizedConfiguration(1), Date.now());
  const timing = { homeProbeIntervalMs: 50 };
  const node = startNode('node-1', [elsewhere], { timing });
  t.teardown(async () => {
    await node.stop();
    await home.stop();
    await elsewhere.stop();
  });
  await waitUntil('current', () => node.link.isCurrent(Date.now()));
  let unsureCount = 0;
  const watch = setInterval(() => {
    if (!node.link.isCurrent(Date.now())) unsureCount += 1;
  }, 1);
  node.link.setControls([home, elsewhere]);
  await waitUntil('attached at home', () => node.link.attachedTo?.address === home.address);
  await waitUntil('confirmed at home', () => node.link.isCurrent(Date.now()));
  clearInterval(watch);
  t.equal(unsureCount, 0);
});

tap.test('a node leaves a control VM that lost its leader for a confirmed one', async (t) => {
  const home = await startControl('control-1');
  const elsewhere = await startControl('control-2', { dataCentre: 'dc2' });
  const timing = { homeProbeIntervalMs: 100, unconfirmedPatienceMs: 500 };
  const node = startNode('node-1', [home, elsewhere], { timing });
  t.teardown(async () => {
    await node.stop();
    await home.stop();
    await elsewhere.stop();
  });
  await waitUntil('attached at home', () => node.link.attachedTo?.address === home.address);
  home.log.isLeaderKnown = false;
  await waitUntil('elsewhere', () => node.link.attachedTo?.address === elsewhere.address);
  t.pass();
});

// Guards against a server that stays unknown in other data centres: the second control VM knew the
// record already, so it told nobody that it holds the node, and the lease ended at the first one.
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
  await waitUntil('known to the second', () => {
    const record = second.hub.directory.find('node-1');
    return record?.draining === true;
  });
  const known = second.hub.directory.find('node-1');
  node.link.setControls([{ address: second.address, dataCentre: 'dc1' }]);
  first.hub.stop();
  await waitUntil('attached to the second', () => second.hub.isAttached('node-1'));
  const offered = second.hub.directory.find('node-1');
  t.ok(offered && known && compareStamps(offered, known) > 0, 'it is offered in a newer state');
  first.hub.start();
  await new Promise((resolve) => {
    setTimeout(resolve, shared.silenceMs * 3);
  });
  t.equal(first.hub.directory.find('node-1')?.draining, true);
});

// Guards against nodes that know only control VMs which were replaced since their settings were written.
tap.test('a node learns control VMs that its settings do not name', async (t) => {
  const second = await startControl('control-2');
  const named = [{ address: second.address, dataCentre: 'dc1' }];
  const first = await startControl('control-1', { listControls: () => named });
  const node = startNode('node-1', [{ address: first.address, dataCentre: '' }], {
    timing: { backoffBaseMs: 10, elsewhereDelayMs: 0 },
  });
  t.teardown(async () => {
    await node.stop();
    await second.stop();
  });
  await waitUntil('attached to the one of the settings', () => first.hub.isAttached('node-1'));
  await first.stop();
  await waitUntil('attached to the one that was named', () => second.hub.isAttached('node-1'));
  // The node learns of it with the first message of the stream, a moment later.
  await waitUntil('known to the node', () => node.link.attachedTo?.address === second.address);
});
