import tap from 'tap';

import type { Socket } from 'node:net';
import type { Test } from 'tap';
import PlatformDialect from '../../../platform/PlatformDialect.js';
import { TestMesh, send } from '../../../test/requestMesh/index.js';
import startRawBackend from '../../../test/requestMesh/startRawBackend.js';
import waitFor from '../../../stand-ins/waitFor/index.js';
import { DiscardReason } from './index.js';

const createAnswer = (attemptId: string): string =>
  `HTTP/1.1 200 OK\r\nattempt-id: ${attemptId}\r\nserver-stamp: s\r\ncontent-length: 2\r\n\r\nok`;

/** Starts a mesh whose only server writes what a function returns; returns the node beside it. */
const startMesh = async (t: Test, write: (attemptId: string, socket: Socket) => void) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const node = await mesh.startNode('owner', { dialect: new PlatformDialect() });
  t.teardown(await startRawBackend(mesh, node, write));
  return node;
};

const BYTES: [DiscardReason, string, (attemptId: string) => string][] = [
  [DiscardReason.AnotherId, 'an answer to another request', () => createAnswer('another')],
  [
    DiscardReason.NoId,
    'an answer without an id',
    () => 'HTTP/1.1 200 OK\r\nserver-stamp: s\r\ncontent-length: 2\r\n\r\nok',
  ],
  [
    DiscardReason.NoSignature,
    'an answer without a signature',
    (attemptId) => `HTTP/1.1 200 OK\r\nattempt-id: ${attemptId}\r\ncontent-length: 2\r\n\r\nok`,
  ],
  [DiscardReason.NotHttp, 'bytes that are no answer', () => '\u0000\u0001 no answer'],
];

// Guards against discarded answers whose kinds neither the metrics nor the logs tell apart.
BYTES.forEach(([reason, name, create]) =>
  tap.test(`${name} is counted as ${reason}`, async (t) => {
    const node = await startMesh(t, (attemptId, socket) => socket.write(create(attemptId)));
    const { status } = await send(node.address, {
      ...{ method: 'POST', path: '/orders', headers: { 'attempt-id': 'order' } },
    });
    t.equal(status, 502);
    Object.values(DiscardReason).forEach((other) =>
      t.equal(
        node.metrics.counter('responses_discarded', { reason: other }).value,
        other === reason ? 1 : 0,
        other,
      ),
    );
  }),
);

// Guards against a second answer on an idle connection that no metric counts.
tap.test('an answer without a request is counted', async (t) => {
  const node = await startMesh(t, (attemptId, socket) => {
    socket.write(createAnswer(attemptId));
    setTimeout(() => socket.write(createAnswer(attemptId)), 20);
  });
  const { status } = await send(node.address, { headers: { 'attempt-id': 'lookup' } });
  t.equal(status, 200);
  const reason = DiscardReason.NoRequest;
  const counter = node.metrics.counter('responses_discarded', { reason });
  await waitFor('a counted answer', () => counter.value === 1);
});
