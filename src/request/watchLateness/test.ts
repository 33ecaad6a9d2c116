import tap from 'tap';

import LatenessMonitor from './index.js';

const INTERVAL_MS = 100;

/** Runs the task with the given lateness each time; returns the watch and the time it reached. */
const replay = (watch: LatenessMonitor, fromMs: number, latenessMs: number[]): number =>
  latenessMs.reduce((nowMs, lateMs) => {
    const dueMs = nowMs + INTERVAL_MS + lateMs;
    watch.recordRun(dueMs);
    return dueMs;
  }, fromMs);

const repeat = (count: number, value: number): number[] =>
  Array.from({ length: count }, () => value);

// Guards against callers that wait out their deadline at a node whose VM runs several times slower.
tap.test('a node that is late all the time is overloaded, until it keeps up again', async (t) => {
  const watch = new LatenessMonitor(INTERVAL_MS);
  watch.recordRun(0);
  const slowAtMs = replay(watch, 0, repeat(20, 2));
  t.equal(watch.isOverloaded, false);
  const relievedAtMs = replay(watch, slowAtMs, repeat(5, 300));
  t.equal(watch.isOverloaded, true);
  replay(watch, relievedAtMs, repeat(10, 2));
  t.equal(watch.isOverloaded, false);
});

// Guards against a node that turns its callers away for a single pause.
tap.test('a pause of the garbage collector is no overload, and a thaw passes soon', async (t) => {
  const watch = new LatenessMonitor(INTERVAL_MS);
  watch.recordRun(0);
  const pausedAtMs = replay(watch, 0, [...repeat(5, 1), 200, ...repeat(3, 1)]);
  t.equal(watch.isOverloaded, false);
  const thawedAtMs = replay(watch, pausedAtMs, [4_000]);
  replay(watch, thawedAtMs, repeat(6, 1));
  t.equal(watch.isOverloaded, false);
});
