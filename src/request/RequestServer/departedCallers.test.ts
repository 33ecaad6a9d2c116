import { setTimeout as delay } from 'node:timers/promises';

import tap from 'tap';

import type { Test } from 'tap';
import startDepartingCallers from '../../../stand-ins/departingCallers/index.js';
import { TestMesh, send } from '../../../test/requestMesh/index.js';

/** Time after the departure of its caller from which a request must not reach a server. */
const CANCEL_TIMEOUT_MS = 500;
const CALLERS = 60;
/** Longer than any request waits after its caller has left. */
const SETTLE_MS = 1_000;

const blockFor = (durationMs: number): void => {
  const endsAtMs = performance.now() + durationMs;
  while (performance.now() < endsAtMs);
};

/** Keeps the processor busy in parts, as many requests do, until the promise is settled. */
const occupyProcessor = async (partMs: number, isOver: Promise<unknown>): Promise<void> => {
  let isRunning = true;
  isOver.finally(() => {
    isRunning = false;
  });
  while (isRunning) {
    blockFor(partMs);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
};

/** Starts two nodes with a server beside one of them; records when each path reaches the server. */
const startMesh = async (t: Test) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry');
  const owner = await mesh.startNode('owner');
  const arrivedAtMs = new Map<string, number>();
  await mesh.startBackend(
    owner,
    (request, response) => {
      arrivedAtMs.set(request.url ?? '', Date.now());
      setTimeout(() => response.end(), SETTLE_MS / 2);
    },
    { slots: CALLERS, connections: CALLERS },
  );
  // Opens the connections between the nodes and to the server.
  await Promise.all(Array.from({ length: CALLERS / 2 }, () => send(entry.address)));
  return { entry, arrivedAtMs };
};

/** Lets callers leave while the node is busy; asserts that none of their requests is sent on late. */
const assertNoneLate = async (t: Test, keepBusy: () => Promise<void>): Promise<void> => {
  const { entry, arrivedAtMs } = await startMesh(t);
  const { departures } = await startDepartingCallers({
    address: entry.address,
    count: CALLERS,
    sendAfterMs: 50,
    leaveAfterMs: 100,
  });
  await keepBusy();
  const late = (await departures).filter(
    ({ path, atMs }) => (arrivedAtMs.get(path) ?? 0) > atMs + CANCEL_TIMEOUT_MS,
  );
  t.equal(late.length, 0, `${late.length} of ${CALLERS} requests`);
};

// Guards against requests that run for nobody: while the processor is busy, they wait in their
// connections, and the disconnection behind them is read only after they have been sent on.
tap.test('no request is sent on long after its caller left a blocked node', async (t) => {
  await assertNoneLate(t, async () => {
    blockFor(2 * CANCEL_TIMEOUT_MS);
    await delay(SETTLE_MS);
  });
});

// Guards against connections that wait to be accepted while the requests of others are handled: Node.js
// accepts one connection per turn of the event loop.
tap.test('no request is sent on long after its caller left a busy node', async (t) => {
  await assertNoneLate(t, () => occupyProcessor(20, delay(2 * SETTLE_MS + CANCEL_TIMEOUT_MS)));
});
