import tap from 'tap';

import summarizeLatencies from './index.js';

// Guards against a unit error that would go unnoticed in a table of results.
tap.test('percentiles are in milliseconds', async (t) => {
  const summary = summarizeLatencies(Array.from({ length: 1_000 }, (_, index) => index + 1));
  t.ok(Math.abs(summary.p50 - 500) <= 2);
  t.ok(Math.abs(summary.p99 - 990) <= 2);
  t.ok(Math.abs(summary.max - 1_000) <= 2);
  t.equal(summary.count, 1_000);
  t.equal(summarizeLatencies([]).max, 0);
});
