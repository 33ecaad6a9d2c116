import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import tap from 'tap';

import { splitAddress } from '../../connection/splitAddress/index.js';
import { listenOnLoopback } from '../../../test/requestMesh/index.js';
import PolledTimeout from './index.js';

const DELAY_MS = 20;

const blockFor = (durationMs: number): void => {
  const endsAtMs = performance.now() + durationMs;
  while (performance.now() < endsAtMs);
};

// Guards against taking a response that arrived in time for a missing one after a long turn of the event
// loop: timers run before connections are read.
tap.test('what arrived while the event loop was blocked cancels the timeout', async (t) => {
  const server = createServer((socket) => socket.pipe(socket));
  t.teardown(() => server.close());
  const socket = connect(splitAddress(await listenOnLoopback(server)));
  t.teardown(() => socket.destroy());
  await once(socket, 'connect');
  socket.write('warm-up');
  await once(socket, 'data');
  let firedCount = 0;
  const timeout = new PolledTimeout(() => {
    firedCount += 1;
  }, DELAY_MS);
  socket.once('data', () => timeout.cancel());
  socket.write('answer');
  // The other end answers in a turn of its own, and the answer is there before the next timers run.
  setImmediate(() => setImmediate(() => blockFor(2 * DELAY_MS)));
  await delay(4 * DELAY_MS);
  t.equal(firedCount, 0);
});

tap.test('the timeout fires once, after the last refresh', async (t) => {
  let firedAtMs = 0;
  const timeout = new PolledTimeout(() => {
    firedAtMs = performance.now();
  }, DELAY_MS);
  // Without a turn of the event loop, in which the timeout could fire before the refresh.
  blockFor(DELAY_MS / 2);
  const refreshedAtMs = performance.now();
  timeout.refresh();
  await delay(4 * DELAY_MS);
  t.ok(firedAtMs - refreshedAtMs >= DELAY_MS - 1);
});

tap.test('a cancelled timeout does not fire', async (t) => {
  let firedCount = 0;
  const timeout = new PolledTimeout(() => {
    firedCount += 1;
  }, DELAY_MS);
  timeout.cancel();
  await delay(2 * DELAY_MS);
  t.equal(firedCount, 0);
});
