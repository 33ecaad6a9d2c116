import { setTimeout as sleep } from 'node:timers/promises';

import tap from 'tap';

import { TurnTaker } from './index.js';

const SHORT = { parts: 682, sizeBytes: 682, spentMs: 5, hasMore: true };
/** Keeps the process busy as the piece would. */
const parseShort = (): void => {
  const untilMs = performance.now() + SHORT.spentMs;
  while (performance.now() < untilMs);
};

const TAKERS = 8;
const OBSERVED_MS = 1_000;

// Guards against one wasteful connection that keeps the others from their turns, and against turns
// that take more than their share of the time.
tap.test('wasteful connections take turns within their share', async (t) => {
  const counts = Array.from({ length: TAKERS }, () => 0);
  const takers = counts.map((_, index) => {
    const taker: TurnTaker = new TurnTaker(() => {
      counts[index] = (counts[index] ?? 0) + 1;
      t.ok(taker.take(), 'a turn allows a piece');
      parseShort();
      taker.record(SHORT);
      t.notOk(taker.take(), 'and no second one');
    });
    return taker;
  });
  t.ok(
    takers.every((taker) => taker.take()),
    'a first piece needs no turn',
  );
  takers.forEach((taker) => {
    parseShort();
    taker.record(SHORT);
  });
  const startedAtMs = performance.now();
  takers.forEach((taker) => taker.take());
  await sleep(OBSERVED_MS);
  takers.forEach((taker) => taker.close());
  const elapsedMs = performance.now() - startedAtMs;
  const total = counts.reduce((sum, count) => sum + count, 0);
  t.ok(total * SHORT.spentMs <= 0.26 * elapsedMs, `${total} turns`);
  t.ok(total >= TAKERS, `${total} turns`);
  t.ok(Math.max(...counts) - Math.min(...counts) <= 1, counts.join(' '));
});

// Guards against a connection that waits for turns after its wasteful body has ended.
tap.test('a piece that is not wasteful ends the need for turns', async (t) => {
  const taken = await new Promise<boolean[]>((resolve) => {
    const taker: TurnTaker = new TurnTaker(() => {
      const first = taker.take();
      taker.record({ parts: 1, sizeBytes: 1, spentMs: 0, hasMore: false });
      resolve([first, taker.take(), taker.take()]);
    });
    taker.record(SHORT);
    t.notOk(taker.take());
  });
  t.strictSame(taken, [true, true, true]);
});
