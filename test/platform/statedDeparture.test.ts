/** Requests to backend servers that state in their answers that they are about to stop. */
import { randomUUID } from 'node:crypto';

import tap from 'tap';

import type { Test } from 'tap';
import PlatformDialect from '../../platform/PlatformDialect.js';
import { TestMesh, send } from '../requestMesh/index.js';
import type { TestBackend, TestNode } from '../requestMesh/index.js';

const BORN_AT_MS = 1_000;

interface LeavingServer extends TestBackend {
  isLeaving: boolean;
  arrivals: number;
}

const startNode = (mesh: TestMesh, nodeId: string, incarnation = 1n): Promise<TestNode> =>
  mesh.startNode(nodeId, { incarnation, dialect: new PlatformDialect(), probeIntervalMs: 0 });

const startServer = async (mesh: TestMesh, node: TestNode): Promise<LeavingServer> => {
  const server = { isLeaving: false, arrivals: 0 };
  const backend = await mesh.startBackend(
    node,
    (request, response) => {
      server.arrivals += 1;
      response.writeHead(200, {
        ...{ 'attempt-id': String(request.headers['attempt-id']), 'server-stamp': 's' },
        ...(server.isLeaving && { 'server-leaving': '1' }),
      });
      response.end('ok');
    },
    { bornAtMs: BORN_AT_MS },
  );
  return Object.assign(server, backend);
};

const lookUp = async (node: TestNode): Promise<number> => {
  const headers = { 'attempt-id': randomUUID(), 'deadline-remaining': '1500' };
  return (await send(node.address, { headers })).status;
};

const startMesh = async (t: Test) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await startNode(mesh, 'entry');
  const owner = await startNode(mesh, 'owner');
  const server = await startServer(mesh, owner);
  return { mesh, entry, owner, server };
};

// Guards against requests to a server that stops before they end, while its announcement is under way.
tap.test('a server gets no more requests after an answer that states its departure', async (t) => {
  const { entry, owner, server } = await startMesh(t);
  t.equal(await lookUp(entry), 200);
  server.isLeaving = true;
  t.equal(await lookUp(entry), 200);
  const { serverId, announcement } = server;
  // An announcement from before the departure, that arrives after it.
  owner.localServers.announce(serverId, { ...announcement, sequence: 7 }, Date.now());
  const { arrivals } = server;
  t.equal(await lookUp(entry), 503);
  t.equal(await lookUp(owner), 503);
  t.equal(server.arrivals, arrivals);
});

// Guards against the restart of the node beside the server, which has not read the answer.
tap.test('a node that passed on a departure does not select the server again', async (t) => {
  const { mesh, entry, owner, server } = await startMesh(t);
  server.isLeaving = true;
  t.equal(await lookUp(entry), 200);
  await owner.requestServer.stop();
  const restarted = await startNode(mesh, 'owner', 2n);
  const { bornAtMs, ...discovered } = server.announcement;
  restarted.localServers.announce(server.serverId, discovered, Date.now());
  const { arrivals } = server;
  t.equal(await lookUp(entry), 503);
  restarted.localServers.announce(
    server.serverId,
    { ...discovered, bornAtMs: BORN_AT_MS },
    Date.now(),
  );
  t.equal(await lookUp(entry), 503);
  t.equal(server.arrivals, arrivals);
});

// Guards against a departure that outlasts the server, whose id may be used again.
tap.test('a server that starts again after its departure gets requests', async (t) => {
  const { entry, owner, server } = await startMesh(t);
  server.isLeaving = true;
  await lookUp(entry);
  server.isLeaving = false;
  const { serverId, announcement } = server;
  owner.localServers.announce(serverId, { ...announcement, bornAtMs: BORN_AT_MS + 1 }, Date.now());
  t.equal(await lookUp(entry), 200);
});
