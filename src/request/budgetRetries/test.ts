import tap from 'tap';

import { FixedRetryBudget, RatioRetryBudget, SharedRetryBudget } from './index.js';

import type { RetryBudget } from './index.js';

/** Counts the retries that a budget allows while every request of ten seconds fails. */
const countRetries = (budget: RetryBudget, perSecond: number): number => {
  let retries = 0;
  Array.from({ length: perSecond * 10 }).forEach((_, index) => {
    const nowMs = (index * 1_000) / perSecond;
    budget.addRequest('desk', nowMs);
    if (budget.take('desk', nowMs)) retries += 1;
  });
  return retries;
};

tap.test('retries stay a tenth of the requests when everything fails', async (t) => {
  const retries = countRetries(new RatioRetryBudget(), 1_000);
  t.ok(retries <= 10_000 * 0.1 + 21, `${retries} of 10000`);
  t.ok(retries >= 10_000 * 0.1, `${retries} of 10000`);
});

tap.test('a rarely used service can still retry', async (t) => {
  t.ok(countRetries(new RatioRetryBudget(), 1) >= 10);
});

tap.test('a fixed budget starves a busy service, which is why the ratio is used', async (t) => {
  const retries = countRetries(new FixedRetryBudget(), 1_000);
  t.ok(retries <= 111, `${retries} of 10000`);
});

tap.test('services do not share a budget', async (t) => {
  const budget = new RatioRetryBudget();
  while (budget.take('desk', 0));
  t.equal(budget.take('ledger', 0), true);
});

// Guards against nodes that each keep within the bound while their sum breaks it.
tap.test('the retries of all nodes keep within the shared bound in any window', async (t) => {
  const bounds = { ratio: 0.2, slack: 64, windowS: 10 };
  const nodes = Array.from({ length: 12 }, () => new SharedRetryBudget(bounds, () => 12));
  const retriesAtMs: number[] = [];
  const perSecond = 400;
  // All load arrives at one node, then at all of them.
  Array.from({ length: perSecond * 30 }).forEach((_, index) => {
    const nowMs = (index * 1_000) / perSecond;
    const node = nodes[nowMs < 10_000 ? 0 : index % nodes.length];
    node?.addRequest('desk', nowMs);
    if (node?.take('desk', nowMs)) retriesAtMs.push(nowMs);
  });
  const limit = bounds.ratio * perSecond * bounds.windowS + bounds.slack;
  const maxRetries = Math.max(
    ...retriesAtMs.map(
      (fromMs) => retriesAtMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + 10_000).length,
    ),
  );
  t.ok(maxRetries <= limit, `${maxRetries} of ${limit}`);
  t.ok(maxRetries >= limit / 3, `${maxRetries} of ${limit}`);
});
