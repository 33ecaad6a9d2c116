import tap from 'tap';

import TurnBudget from './index.js';

// Guards against wasteful connections that together take the time of the others.
tap.test('wasteful pieces take at most a quarter of the time', async (t) => {
  const budget = new TurnBudget();
  const durationMs = 1_000;
  let nowMs = 0;
  let spentMs = 0;
  for (let piece = 0; nowMs < durationMs; piece += 1) {
    const pieceMs = 0.5 + (piece % 7);
    nowMs += pieceMs;
    spentMs += pieceMs;
    budget.record(pieceMs, nowMs);
    nowMs += budget.computeWaitMs(nowMs);
  }
  t.ok(spentMs <= 0.26 * nowMs, `${spentMs} of ${nowMs} ms`);
  t.ok(spentMs >= 0.24 * nowMs, `${spentMs} of ${nowMs} ms`);
});

// Guards against first pieces of many new connections that count for nothing.
tap.test('pieces without a turn delay the next turn', async (t) => {
  const budget = new TurnBudget();
  t.equal(budget.computeWaitMs(0), 0);
  Array.from({ length: 64 }).forEach((_, index) => budget.record(1, index + 1));
  t.equal(budget.computeWaitMs(64), 190, 'four times 64 ms from the first on, less the credit');
  t.equal(budget.computeWaitMs(254), 0);
});

// Guards against connections that get far less than their share, as timers of 1 ms end the waits.
tap.test('time that a late turn left unused counts for the next ones', async (t) => {
  const budget = new TurnBudget();
  budget.record(0.25, 1_000);
  t.equal(budget.computeWaitMs(1_000), 0);
  budget.record(0.25, 1_001);
  t.equal(budget.computeWaitMs(1_001), 0);
  Array.from({ length: 8 }).forEach(() => budget.record(0.25, 1_001));
  t.ok(budget.computeWaitMs(1_001) > 5, 'a long time without waste counts for 2 ms only');
});

// Guards against a process that was suspended during a piece and then reads no wasteful connection.
tap.test('no piece delays the next turn for more than a second', async (t) => {
  const budget = new TurnBudget();
  budget.record(60_000, 60_000);
  t.equal(budget.computeWaitMs(60_000), 1_000);
});

// Guards against connections that stay on the slower path long after the last wasteful one.
tap.test('pressure ends 10 s after the last wasteful piece', async (t) => {
  const budget = new TurnBudget();
  t.notOk(budget.isUnderPressure(0));
  budget.record(1, 1_000);
  t.ok(budget.isUnderPressure(10_999));
  t.notOk(budget.isUnderPressure(11_000));
});
