import { connect, createServer } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import type { RequestListener } from 'node:http';
import type { Socket } from 'node:net';
import type { Test } from 'tap';
import { CrashSuspectSchema } from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import { splitAddress } from '../../connection/splitAddress/index.js';
import { TestMesh, listenOnLoopback, send } from '../../../test/requestMesh/index.js';
import { fingerprintRequest } from '../fingerprintRequest/index.js';
import type { TestNode } from '../../../test/requestMesh/index.js';

/** Longer than the time after which a node without an acknowledgement counts as unresponsive. */
const SLOW_NODE_MS = 900;
/** Longer than the interval at which a node merges what the others publish. */
const MERGE_MS = 250;
const HOST = 'desk.example';
const CRASHING_PATH = '/crashing';

/** Publishes that three servers ended while they ran the crashing lookup. */
const publishCrashes = ({ localServers }: TestNode): void => {
  const [fingerprint = 0n] = fingerprintRequest({
    method: 'GET',
    host: HOST,
    path: CRASHING_PATH,
    bodyDigest: undefined,
    callerService: '',
  });
  const crashSuspects = [create(CrashSuspectSchema, { fingerprint, crashCount: 3 })];
  localServers.publishCrashes({ crashSuspects, answeredSuspects: [] });
};

const sendTo = ({ address }: TestNode, path: string) =>
  send(address, { path, headers: { host: HOST } });

/** Starts a mesh whose only server counts the runs of the crashing lookup. */
const startMesh = async (t: Test, slots: number) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry');
  const owner = await mesh.startNode('owner');
  const reporter = await mesh.startNode('reporter');
  const runs = { crashing: 0 };
  const held: (() => void)[] = [];
  const listener: RequestListener = (request, response) => {
    if (request.url === CRASHING_PATH) {
      runs.crashing += 1;
      response.end();
    } else {
      held.push(() => response.end());
    }
  };
  await mesh.startBackend(owner, listener, { slots });
  return { entry, owner, reporter, runs, held };
};

// Guards against a further crash by a lookup that waited for a slot while the last crashes came.
tap.test('a waiting lookup is not sent once it has crashed three servers', async (t) => {
  const { entry, owner, reporter, runs, held } = await startMesh(t, 1);
  const holding = sendTo(entry, '/held');
  while (held.length === 0) await delay(5);
  const crashing = sendTo(entry, CRASHING_PATH);
  const [local] = owner.localServers.list();
  while (local?.gate.waiting !== 1) await delay(5);
  publishCrashes(reporter);
  await delay(MERGE_MS);
  held.forEach((finish) => finish());
  t.equal((await holding).status, 200);
  const { status, headers } = await crashing;
  t.same([status, headers['foxtailvane-outcome']], [503, 'not-run']);
  t.equal(runs.crashing, 0);
  t.equal(local.gate.used, 0, 'its slot is free again');
});

// Guards against a further crash by a lookup that waited on its way while the last crashes came.
tap.test('a lookup on a slow link is not sent once it has crashed three servers', async (t) => {
  const { entry, owner, reporter, runs } = await startMesh(t, 1);
  const { host, port } = splitAddress(owner.localServers.record().forwardAddress);
  const sockets = new Set<Socket>();
  const link = createServer((socket) => {
    const upstream = connect(port, host);
    [socket, upstream].forEach((end) => sockets.add(end.on('error', () => end.destroy())));
    setTimeout(() => socket.pipe(upstream), SLOW_NODE_MS);
    upstream.pipe(socket);
  });
  const address = await listenOnLoopback(link);
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    link.close();
  });
  owner.localServers.setAddresses({ forwardAddress: address, peerAddress: address });
  const crashing = sendTo(entry, CRASHING_PATH);
  await delay(SLOW_NODE_MS / 2);
  publishCrashes(reporter);
  const { status, headers } = await crashing;
  t.same([status, headers['foxtailvane-outcome']], [503, 'not-run']);
  t.equal(runs.crashing, 0);
});
