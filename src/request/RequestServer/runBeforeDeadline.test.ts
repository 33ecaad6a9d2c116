import tap from 'tap';

import type { Test } from 'tap';
import waitFor from '../../../stand-ins/waitFor/index.js';
import { TestMesh, send } from '../../../test/requestMesh/index.js';

/** A request that waits for the event loop until its deadline runs at no server. */
const DEADLINE_MS = 2_000;
const ONE_SLOT = { slots: 1, connections: 1 };

/** Starts a node with a busy server and one that runs requests and breaks off. */
const startNode = async (t: Test) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const node = await mesh.startNode('node');
  const held: (() => void)[] = [];
  await mesh.startBackend(node, (_, response) => held.push(() => response.end()), ONE_SLOT);
  const holding = send(node.address, { path: '/hold' });
  t.teardown(() => {
    held.forEach((finish) => finish());
    return holding;
  });
  await waitFor('a busy server', () => held.length === 1);
  const runs: string[] = [];
  await mesh.startBackend(
    node,
    (request) => {
      runs.push(request.url ?? '');
      request.socket.destroy();
    },
    ONE_SLOT,
  );
  return { node, runs, held };
};

// Guards against telling a caller that its request did not run, when the server that ran it gave no answer and
// the deadline passed before the request was sent to another one.
tap.test('a request that may have run is not refused as not run at its deadline', async (t) => {
  const { node, runs, held } = await startNode(t);
  const headers = { 'foxtailvane-deadline-ms': String(DEADLINE_MS) };
  const { status } = await send(node.address, { path: '/lookup', headers });
  t.strictSame(runs, ['/lookup'], 'it ran at one server');
  t.equal(held.length, 1, 'and was not sent to the other');
  t.equal(status, 502);
});
