import tap from 'tap';

import { FixedRetryBudget, RatioRetryBudget, SharedRetryBudget } from './index.js';

import type { RetryBudget } from './index.js';

/** Counts the retries that a budget allows in ten seconds during which every request fails. */
const countRetries = (budget: RetryBudget, perSecond: number): number => {
  let retries = 0;
  Array.from({ length: perSecond * 10 }).forEach((_, index) => {
    const nowMs = (index * 1_000) / perSecond;
    budget.addRequest('desk', nowMs);
    if (budget.take('desk', nowMs)) retries += 1;
  });
  return retries;
};

tap.test('retries are limited to a tenth of the requests when every request fails', async (t) => {
  const retries = countRetries(new RatioRetryBudget(), 1_000);
  t.ok(retries <= 10_000 * 0.1 + 21, `${retries} of 10000`);
  t.ok(retries >= 10_000 * 0.1, `${retries} of 10000`);
});

tap.test('a rarely used service can still retry', async (t) => {
  t.ok(countRetries(new RatioRetryBudget(), 1) >= 10);
});

tap.test('a fixed budget starves a busy service, unlike a ratio of its requests', async (t) => {
  const retries = countRetries(new FixedRetryBudget(), 1_000);
  t.ok(retries <= 111, `${retries} of 10000`);
});

tap.test('each service has its own budget', async (t) => {
  const budget = new RatioRetryBudget();
  while (budget.take('desk', 0));
  t.equal(budget.take('ledger', 0), true);
});

// Guards against nodes that each respect the bound while their sum exceeds it.
tap.test('the retries of all nodes stay within the shared bound in any window', async (t) => {
  const bounds = { ratio: 0.2, slack: 64, windowS: 10 };
  const nodes = Array.from({ length: 12 }, () => new SharedRetryBudget(bounds, () => 12));
  const retriesAtMs: number[] = [];
  const perSecond = 400;
  // All requests arrive at one node at first, then at all nodes.
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
