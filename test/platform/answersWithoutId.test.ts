import tap from 'tap';

import type { Test } from 'tap';
import PlatformDialect from '../../platform/PlatformDialect.js';
import { TestMesh, send } from '../requestMesh/index.js';
import startRawBackend from '../requestMesh/startRawBackend.js';
import type { TestNode } from '../requestMesh/index.js';

const STATUS_LINES = ['500 Internal Server Error', '404 Not Found', '302 Found'];
const SIGNATURE = 'server-stamp: s.former\r\n';
const FRAMINGS: Record<string, string> = {
  'a length': 'content-length: 4\r\n\r\nlate',
  chunks: 'transfer-encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n',
  'no length': '\r\n',
};
const FORMER_ID = 'former';

const createAnswer = (attemptId: string): string => {
  const body = `answer to ${attemptId}`;
  return (
    `HTTP/1.1 200 OK\r\nattempt-id: ${attemptId}\r\nserver-stamp: s.${attemptId}\r\n` +
    `content-length: ${body.length}\r\n\r\n${body}`
  );
};

/** Starts two nodes and a worker that writes additional bytes before the answer to each later request. */
const startMesh = async (t: Test, additional: string): Promise<[TestNode, TestNode]> => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const dialect = new PlatformDialect();
  const entry = await mesh.startNode('entry', { dialect });
  const owner = await mesh.startNode('owner', { dialect });
  const stop = await startRawBackend(mesh, owner, (attemptId, socket) => {
    socket.write((attemptId === FORMER_ID ? '' : additional) + createAnswer(attemptId));
  });
  t.teardown(stop);
  return [entry, owner];
};

const checkNode = async (t: Test, node: TestNode, name: string): Promise<void> => {
  const lookup = await send(node.address, { headers: { 'attempt-id': 'lookup' } });
  t.equal(lookup.status, 502, `a lookup over ${name}`);
  t.equal(lookup.headers['server-stamp'], undefined);
  t.equal(lookup.headers['attempt-id'], 'lookup');
  const order = await send(node.address, {
    ...{ method: 'POST', path: '/orders', headers: { 'attempt-id': 'order' } },
  });
  t.equal(order.status, 502, `an order over ${name}`);
};

// Guards against a late failure without an id that a caller gets as the answer to its own request.
STATUS_LINES.forEach((line) =>
  Object.entries(FRAMINGS).forEach(([framing, rest]) =>
    [SIGNATURE, ''].forEach((signature) =>
      tap.test(
        `${signature === '' ? 'an unsigned' : 'a signed'} ${line} without an id, with ${framing}`,
        async (t) => {
          const additional = `HTTP/1.1 ${line}\r\n${signature}${rest}`;
          const [entry, owner] = await startMesh(t, additional);
          const first = await send(owner.address, { headers: { 'attempt-id': FORMER_ID } });
          t.equal(first.status, 200);
          await checkNode(t, owner, 'one hop');
          await checkNode(t, entry, 'two hops');
        },
      ),
    ),
  ),
);
