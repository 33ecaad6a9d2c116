import { setTimeout as delay } from 'node:timers/promises';

import tap from 'tap';

import { TestMesh, send } from '../../../test/requestMesh/index.js';
import { RatioRetryBudget } from '../budgetRetries/index.js';

/** Counts the retries that are charged. */
class CountingBudget extends RatioRetryBudget {
  takenCount = 0;

  override take(service: string, nowMs: number): boolean {
    this.takenCount += 1;
    return super.take(service, nowMs);
  }
}

// Guards against retries that are charged for requests whose caller is gone: each would take the retry
// of a caller that still waits.
tap.test('no retry follows a lookup whose caller left while it waited for a slot', async (t) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const budget = new CountingBudget();
  const entry = await mesh.startNode('entry', { createBudget: () => budget });
  const owner = await mesh.startNode('owner');
  let runs = 0;
  await mesh.startBackend(
    entry,
    () => {
      runs += 1;
    },
    { slots: 1 },
  );
  const held = new AbortController();
  const ignore = (): undefined => undefined;
  const first = send(entry.address, { signal: held.signal }).catch(ignore);
  while (runs === 0) await delay(5);
  const waiting = new AbortController();
  const second = send(entry.address, { signal: waiting.signal }).catch(ignore);
  while (entry.localServers.list()[0]?.gate.waiting !== 1) await delay(5);
  let ownerRuns = 0;
  await mesh.startBackend(owner, (_, response) => {
    ownerRuns += 1;
    response.end();
  });
  waiting.abort();
  await second;
  await delay(50);
  t.equal(budget.takenCount, 0, 'retries charged');
  t.equal(ownerRuns, 0);
  t.equal(entry.metrics.counter('requests_retried', { reason: 'CANCELLED' }).value, 0);
  held.abort();
  await first;
});

// Guards against retries that are charged for requests whose deadline has passed.
tap.test(
  'no retry follows a lookup whose deadline passed while it waited for a slot',
  async (t) => {
    const mesh = new TestMesh();
    t.teardown(() => mesh.stop());
    const budget = new CountingBudget();
    const entry = await mesh.startNode('entry', { createBudget: () => budget });
    const owner = await mesh.startNode('owner');
    let runs = 0;
    await mesh.startBackend(
      entry,
      () => {
        runs += 1;
      },
      { slots: 1 },
    );
    const held = new AbortController();
    const first = send(entry.address, { signal: held.signal }).catch(() => undefined);
    while (runs === 0) await delay(5);
    const headers = { 'foxtailvane-deadline-ms': '300' };
    const second = send(entry.address, { headers });
    await delay(20);
    await mesh.startBackend(owner, (_, response) => response.end());
    const { status } = await second;
    t.equal(status, 503);
    t.equal(budget.takenCount, 0, 'retries charged');
    held.abort();
    await first;
  },
);
