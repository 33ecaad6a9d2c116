import { setImmediate as nextTurn } from 'node:timers/promises';

import tap from 'tap';

import type { IncomingMessage } from 'node:http';
import { RequestPacer } from './index.js';

/** Creates a received request, of which the pacer reads only the state of the connection. */
const createRequest = () => {
  const socket = { destroyed: false, readableEnded: false };
  return { socket, request: { socket } as IncomingMessage };
};

// Guards against a request that is sent on although the disconnection of its caller can be read already.
tap.test('a request is handled only after its connection was polled again', async (t) => {
  const pacer = new RequestPacer();
  const handled: string[] = [];
  const [staying, leaving, closing] = [createRequest(), createRequest(), createRequest()];
  pacer.add(staying.request, () => handled.push('staying'));
  pacer.add(leaving.request, () => handled.push('leaving'));
  pacer.add(closing.request, () => handled.push('closing'));
  t.strictSame(handled, []);
  await nextTurn();
  t.strictSame(handled, []);
  leaving.socket.readableEnded = true;
  closing.socket.destroyed = true;
  await nextTurn();
  t.strictSame(handled, ['staying']);
});

// Guards against long turns: each turn accepts one connection, so new connections would wait for many
// requests of others.
tap.test(
  'the requests of a burst are spread over turns, in the order of their arrival',
  async (t) => {
    const MS_PER_REQUEST = 2;
    const COUNT = 20;
    let nowMs = 0;
    let abandonedCount = 0;
    const pacer = new RequestPacer({
      readNowMs: () => nowMs,
      onAbandoned: () => {
        abandonedCount += 1;
      },
    });
    const handled: number[] = [];
    const waitsMs: number[] = [];
    Array.from({ length: COUNT }, (_, index) =>
      pacer.add(createRequest().request, (waitedMs) => {
        handled.push(index);
        waitsMs.push(waitedMs);
        nowMs += MS_PER_REQUEST;
      }),
    );
    await nextTurn();
    const countsPerTurn: number[] = [];
    while (handled.length < COUNT) {
      const before = handled.length;
      await nextTurn();
      countsPerTurn.push(handled.length - before);
    }
    t.strictSame(handled, [...Array(COUNT).keys()]);
    t.ok(Math.max(...countsPerTurn) * MS_PER_REQUEST <= 6, String(countsPerTurn));
    t.equal(waitsMs.at(-1), (COUNT - 1) * MS_PER_REQUEST);
    t.equal(abandonedCount, 0);
  },
);

// Guards against an overload that no timer shows: the requests that wait are not handled late by a timer.
tap.test('the wait of the oldest request is known', async (t) => {
  let nowMs = 100;
  const pacer = new RequestPacer({ readNowMs: () => nowMs });
  t.equal(pacer.computeWaitMs(nowMs), 0);
  pacer.add(createRequest().request, () => undefined);
  nowMs = 130;
  pacer.add(createRequest().request, () => undefined);
  t.equal(pacer.computeWaitMs(nowMs), 30);
  await nextTurn();
  await nextTurn();
  t.equal(pacer.computeWaitMs(nowMs), 0);
});
