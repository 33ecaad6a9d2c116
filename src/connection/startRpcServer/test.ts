import { mkdirSync } from 'node:fs';
import { connect } from 'node:net';
import { join } from 'node:path';

import { create } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import tap from 'tap';

import {
  AttachRequestSchema,
  DistributionService,
  ExchangeService,
} from '../../_generated/foxtailvane/v1/distribution_pb.js';
import { ProcessRole } from '../../process/tls/readIdentity/index.js';
import { TlsStore } from '../../process/tls/TlsStore/index.js';
import { TestAuthority, writeTlsFiles } from '../../../stand-ins/certificates/index.js';
import {
  buildRecord,
  buildSizedConfiguration,
  startControl,
  startNode,
  startPeerNode,
  waitUntil,
} from '../../../stand-ins/distributionCluster/index.js';
import { expectOk } from '../../../stand-ins/results/index.js';
import { LinkError, LinkErrorCode } from '../distribution/LinkError/index.js';
import { probeControl } from '../distribution/_lib/probeControl.js';
import { openTransport } from '../openTransport/index.js';
import { startRpcServer } from './index.js';

import type { TlsMaterial } from '../openTransport/index.js';

const authority = new TestAuthority();
const folder = tap.testdir();

const openStore = async (
  name: string,
  role: ProcessRole,
  issuer: TestAuthority = authority,
): Promise<TlsStore> => {
  const own = join(folder, `${name}-${Math.random()}`);
  mkdirSync(own);
  const files = writeTlsFiles(own, issuer.issue({ name, role }), issuer.cert);
  return expectOk(await TlsStore.open(files, { name, role }, Date.now()));
};

const readEnd = (stream: AsyncIterable<unknown>): Promise<unknown> =>
  stream[Symbol.asyncIterator]()
    .next()
    .then(
      () => 'answered',
      (cause) => LinkError.from(cause).code,
    );

const probeCode = async (address: string, tls: TlsMaterial | undefined): Promise<unknown> => {
  const { signal } = new AbortController();
  const answer = await probeControl(address, { tls, timeoutMs: 10_000, signal });
  return answer.match(
    () => 'answered',
    (error) => error.code,
  );
};

tap.test('control VMs, nodes and peers communicate over mutual TLS', async (t) => {
  const tlsStore = await openStore('control-1', ProcessRole.Control);
  const control = await startControl('control-1', { tlsStore });
  const nodeStores = await Promise.all(
    ['node-1', 'node-2'].map((name) => openStore(name, ProcessRole.Node)),
  );
  const nodes = await Promise.all(
    nodeStores.map((store, index) =>
      startPeerNode(`node-${index + 1}`, [control], { tlsStore: store }),
    ),
  );
  t.teardown(async () => {
    await Promise.all(nodes.map((node) => node.stop()));
  });
  control.log.commit(buildSizedConfiguration(1), Date.now());
  await waitUntil('version 1', () => nodes.every((node) => node.holder.current()?.version === 1));
  await waitUntil('records', () =>
    nodes.every((node) => node.directory.serversOf('service-000').length === 2),
  );
  await control.stop();
  await waitUntil('detached', () => nodes.every((node) => node.link.attachedTo === undefined));
  nodes[0]?.source.change({ draining: true });
  await waitUntil(
    'drain reaches the peer without a control VM',
    () => nodes[1]?.directory.find('node-1')?.draining === true,
  );
  t.pass();
});

tap.test('a caller without a certificate of the CA is rejected', async (t) => {
  const tlsStore = await openStore('control-1', ProcessRole.Control);
  const control = await startControl('control-1', { tlsStore });
  const foreign = await openStore('node-1', ProcessRole.Node, new TestAuthority('other-ca'));
  t.teardown(() => control.stop());
  t.not(await probeCode(control.address, undefined), 'answered');
  const trusting = { ...foreign.current(), ca: authority.cert };
  t.not(await probeCode(control.address, trusting), 'answered', 'an unknown issuer');
  t.equal(await probeCode(control.address, foreign.current()), LinkErrorCode.Untrusted);
});

tap.test('a node cannot impersonate a control VM or another node', async (t) => {
  const nodeStore = await openStore('node-1', ProcessRole.Node);
  const impostor = await startControl('control-1', { tlsStore: nodeStore });
  impostor.log.commit(buildSizedConfiguration(1), Date.now());
  const controlStore = await openStore('control-2', ProcessRole.Control);
  const control = await startControl('control-2', { tlsStore: controlStore });
  const victim = startNode('node-2', [impostor], {
    tlsStore: await openStore('node-2', ProcessRole.Node),
  });
  t.teardown(async () => {
    await victim.stop();
    await Promise.all([impostor.stop(), control.stop()]);
  });
  t.equal(await probeCode(impostor.address, nodeStore.current()), LinkErrorCode.Untrusted);
  t.equal(await probeCode(control.address, nodeStore.current()), 'answered');
  t.equal(victim.holder.current(), undefined, 'nothing is installed from the impostor');

  const { transport, close } = openTransport(control.address, { tls: nodeStore.current() });
  t.teardown(close);
  const hello = { nodeId: 'node-3', record: buildRecord('node-3') };
  const attach = createClient(DistributionService, transport).attach(
    (async function* sendHello() {
      yield create(AttachRequestSchema, { kind: { case: 'hello', value: hello } });
    })(),
  );
  t.equal(await readEnd(attach), LinkErrorCode.Forbidden, 'impersonating another node');
  t.equal(control.hub.directory.find('node-3'), undefined);
  const follow = createClient(ExchangeService, transport).follow({ memberId: 'control-9' });
  t.equal(await readEnd(follow), LinkErrorCode.Forbidden, 'the exchange is for control VMs only');
});

tap.test('reloaded material is used for the next connection', async (t) => {
  const own = join(folder, 'reloaded');
  mkdirSync(own);
  const request = { name: 'control-1', role: 'control' };
  const files = writeTlsFiles(own, authority.issue(request), authority.cert);
  const identity = { name: 'control-1', role: ProcessRole.Control };
  const tlsStore = expectOk(await TlsStore.open(files, identity, Date.now()));
  const control = await startControl('control-1', { tlsStore });
  t.teardown(() => control.stop());
  const nextAuthority = new TestAuthority('next-ca');
  const nextNode = await openStore('node-1', ProcessRole.Node, nextAuthority);
  t.equal(await probeCode(control.address, nextNode.current()), LinkErrorCode.Untrusted);
  writeTlsFiles(own, nextAuthority.issue(request), nextAuthority.cert);
  expectOk(await tlsStore.reload(Date.now()));
  t.equal(await probeCode(control.address, nextNode.current()), 'answered');
});

tap.test('close frees the port even with open connections', async (t) => {
  const server = await startRpcServer('127.0.0.1:0', { routes: () => undefined });
  const socket = connect(Number(server.address.split(':')[1]), '127.0.0.1');
  await new Promise((resolve) => {
    socket.once('connect', resolve);
  });
  socket.on('error', () => undefined);
  await server.close();
  const again = await startRpcServer(server.address, { routes: () => undefined });
  await again.close();
  socket.destroy();
  t.pass();
});
