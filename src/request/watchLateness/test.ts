import tap from 'tap';

import LatenessMonitor from './index.js';

const INTERVAL_MS = 100;

/** Replays runs of the task with the given lateness; returns the time of the last run. */
const replay = (monitor: LatenessMonitor, fromMs: number, latenessMs: number[]): number =>
  latenessMs.reduce((nowMs, lateMs) => {
    const dueMs = nowMs + INTERVAL_MS + lateMs;
    monitor.recordRun(dueMs);
    return dueMs;
  }, fromMs);

const repeat = (count: number, value: number): number[] =>
  Array.from({ length: count }, () => value);

// Guards against requests that time out at a node whose VM runs several times slower than usual.
tap.test('a node with constant lateness is overloaded until it is on time again', async (t) => {
  const monitor = new LatenessMonitor(INTERVAL_MS);
  monitor.recordRun(0);
  const slowAtMs = replay(monitor, 0, repeat(20, 2));
  t.equal(monitor.isOverloaded, false);
  const overloadedAtMs = replay(monitor, slowAtMs, repeat(5, 300));
  t.equal(monitor.isOverloaded, true);
  replay(monitor, overloadedAtMs, repeat(10, 2));
  t.equal(monitor.isOverloaded, false);
});

// Guards against a node that refuses requests because of a single pause.
tap.test('a garbage collection or a suspension of the VM is not an overload', async (t) => {
  const monitor = new LatenessMonitor(INTERVAL_MS);
  monitor.recordRun(0);
  const pausedAtMs = replay(monitor, 0, [...repeat(5, 1), 200, ...repeat(3, 1)]);
  t.equal(monitor.isOverloaded, false);
  const resumedAtMs = replay(monitor, pausedAtMs, [4_000]);
  replay(monitor, resumedAtMs, repeat(6, 1));
  t.equal(monitor.isOverloaded, false);
});
