import { createServer as createHttpServer } from 'node:http';
import { connect, createServer } from 'node:net';

import tap from 'tap';

import type { Socket } from 'node:net';
import type { Test } from 'tap';
import { splitAddress } from '../../connection/splitAddress/index.js';
import { TestMesh, listenOnLoopback, send } from '../../../test/requestMesh/index.js';
import type { TestNode } from '../../../test/requestMesh/index.js';

/** Longer than the time after which a node without an acknowledgement counts as unresponsive. */
const SLOW_NODE_MS = 900;
const LOOKUPS = 12;

const startMesh = async (t: Test) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry');
  const slow = await mesh.startNode('slow');
  const other = await mesh.startNode('other');
  return { mesh, entry, slow, other };
};

/** Passes what a node sends to another one on after a delay, as if the other had stood still. */
const delayRequests = async (t: Test, { localServers }: TestNode): Promise<void> => {
  const { host, port } = splitAddress(localServers.record().forwardAddress);
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
  localServers.setAddresses({ forwardAddress: address, peerAddress: address });
};

/** Announces a server at an address that refuses connections, so that its node refuses requests. */
const announceUnreachable = async (mesh: TestMesh, node: TestNode): Promise<void> => {
  const server = createHttpServer();
  const address = await listenOnLoopback(server);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  mesh.announce(node, server, address);
};

// Guards against a lookup that fails although its first server answers in time, since another server
// was listed that could not serve it.
tap.test('a lookup waits for a slow node after another node refused it', async (t) => {
  const { mesh, entry, slow, other } = await startMesh(t);
  await mesh.startBackend(slow, (_, response) => response.end('served'));
  await announceUnreachable(mesh, other);
  await delayRequests(t, slow);
  const replies = await Promise.all(Array.from({ length: LOOKUPS }, () => send(entry.address)));
  replies.forEach(({ status, body }) => t.same([status, body], [200, 'served']));
});
