import { createServer as createTcpServer } from 'node:net';

import tap from 'tap';

import type { Test } from 'tap';
import PlatformDialect from '../../platform/PlatformDialect.js';
import { TestMesh, listenOnLoopback, send } from '../requestMesh/index.js';

const REFUSALS: Record<string, (attemptId: string) => string> = {
  'a full worker': (attemptId) =>
    `HTTP/1.1 503 Full\r\nnot-executed: 1\r\nattempt-id: ${attemptId}\r\ncontent-length: 0\r\n\r\n`,
  'another worker': (attemptId) =>
    `HTTP/1.1 421 Misdirected\r\nattempt-id: ${attemptId}\r\ncontent-length: 0\r\n\r\n`,
  'a worker that gives no id': () =>
    'HTTP/1.1 503 Full\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n',
};
const FIRST_ID = 'first';

/** Starts a worker that refuses the first request, and answers all others with that refusal again. */
const startFaultyWorker = async (t: Test, createRefusal: (attemptId: string) => string) => {
  const ranIds: string[] = [];
  const server = createTcpServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      const attemptId = /attempt-id: (\S+)/i.exec(chunk.toString('latin1'))?.[1] ?? '';
      if (attemptId === '') return;
      if (attemptId !== FIRST_ID) ranIds.push(attemptId);
      socket.write(createRefusal(FIRST_ID));
    });
  });
  t.teardown(() => server.close());
  return { address: await listenOnLoopback(server), ranIds };
};

// Guards against telling a caller that its request has not run, although the worker runs it, when a worker
// writes an earlier refusal once more.
Object.entries(REFUSALS).forEach(([name, createRefusal]) =>
  tap.test(`the repeated refusal of ${name} is no promise for a later request`, async (t) => {
    const mesh = new TestMesh();
    t.teardown(() => mesh.stop());
    const dialect = new PlatformDialect();
    const entry = await mesh.startNode('entry', { dialect });
    const owner = await mesh.startNode('owner', { dialect });
    const { address, ranIds } = await startFaultyWorker(t, createRefusal);
    const { server, serverId } = await mesh.startBackend(owner, (_, response) => response.end());
    owner.localServers.withdraw(serverId);
    mesh.announce(owner, server, address);
    await send(entry.address, { headers: { 'attempt-id': FIRST_ID } });
    const lookup = await send(entry.address, { headers: { 'attempt-id': 'lookup' } });
    const order = await send(entry.address, {
      ...{ method: 'POST', path: '/orders', body: 'one bundle' },
      headers: { 'attempt-id': 'order' },
    });
    t.strictSame([...new Set(ranIds)], ['lookup', 'order'], 'both ran');
    t.equal(ranIds.filter((attemptId) => attemptId === 'order').length, 1, 'the order ran once');
    t.equal(lookup.status, 502);
    t.equal(order.status, 502);
  }),
);
