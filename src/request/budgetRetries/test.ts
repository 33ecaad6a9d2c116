import tap from 'tap';

import { createSeededRandom } from '../../../stand-ins/createSeededRandom/index.js';
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

// Guards against hundreds of nodes whose parts of the shared slack are each below one retry, so that
// none of them ever retries.
tap.test('the parts of many nodes add up to the shared bound', async (t) => {
  const random = createSeededRandom(7);
  const bounds = { ratio: 0.2, slack: 420, windowS: 10 };
  const nodeCount = 620;
  const nodes = Array.from(
    { length: nodeCount },
    () => new SharedRetryBudget(bounds, () => nodeCount, { random }),
  );
  const tryAll = (nowMs: number): number => {
    nodes.forEach((node) => node.addRequest('desk', nowMs));
    return nodes.filter((node) => node.take('desk', nowMs)).length;
  };
  const counts = Array.from({ length: 10 }, (_, second) => tryAll(second * 1_000));
  const retries = counts.reduce((sum, count) => sum + count, 0);
  const limit = bounds.ratio * nodeCount * counts.length + bounds.slack;
  t.ok(retries <= limit, `${retries} of ${limit}`);
  t.ok(retries >= limit / 3, `${retries} of ${limit}`);
  t.ok((counts[0] ?? 0) >= bounds.slack / 4, `${counts[0]} in the first second`);
});
