import tap from 'tap';

import LatenessWatch from './index.js';

const INTERVAL_MS = 100;

/** Replays runs of the task with the given lateness; returns the time of the last run. */
const replay = (watch: LatenessWatch, fromMs: number, latenessMs: number[]): number =>
  latenessMs.reduce((nowMs, lateMs) => {
    const dueMs = nowMs + INTERVAL_MS + lateMs;
    watch.note(dueMs);
    return dueMs;
  }, fromMs);

const repeat = (count: number, value: number): number[] =>
  Array.from({ length: count }, () => value);

// Guards against requests that time out at a node whose VM runs several times slower than usual.
tap.test('a node with constant lateness is overloaded until it is on time again', async (t) => {
  const watch = new LatenessWatch(INTERVAL_MS);
  watch.note(0);
  const slowAtMs = replay(watch, 0, repeat(20, 2));
  t.equal(watch.isOverloaded, false);
  const relievedAtMs = replay(watch, slowAtMs, repeat(5, 300));
  t.equal(watch.isOverloaded, true);
  replay(watch, relievedAtMs, repeat(10, 2));
  t.equal(watch.isOverloaded, false);
});

// Guards against a node that refuses requests because of a single pause.
tap.test('a garbage collection or a suspension of the VM is not an overload', async (t) => {
  const watch = new LatenessWatch(INTERVAL_MS);
  watch.note(0);
  const pausedAtMs = replay(watch, 0, [...repeat(5, 1), 200, ...repeat(3, 1)]);
  t.equal(watch.isOverloaded, false);
  const thawedAtMs = replay(watch, pausedAtMs, [4_000]);
  replay(watch, thawedAtMs, repeat(6, 1));
  t.equal(watch.isOverloaded, false);
});
