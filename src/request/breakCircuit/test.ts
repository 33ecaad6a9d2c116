import tap from 'tap';

import { CircuitState, ConsecutiveFailureBreaker, FailureRateBreaker } from './index.js';

import type { CircuitBreaker } from './index.js';

const KEY = 'n1/s1';

const addFailures = (breaker: CircuitBreaker, nowMs: number): void =>
  Array.from({ length: 6 }).forEach(() => breaker.addFailure(KEY, nowMs));

[ConsecutiveFailureBreaker, FailureRateBreaker].forEach((Breaker) => {
  tap.test(`${Breaker.name} allows one trial request after the pause`, async (t) => {
    const breaker = new Breaker();
    t.equal(breaker.allows(KEY, 0), true);
    addFailures(breaker, 0);
    t.equal(breaker.allows(KEY, 999), false);
    t.equal(breaker.getState(KEY, 999), CircuitState.Open);
    t.equal(breaker.allows(KEY, 1_000), true);
    breaker.addRequest(KEY, 1_000);
    t.equal(breaker.allows(KEY, 1_000), false, 'one trial request at a time');
    breaker.addInconclusive(KEY);
    t.equal(breaker.allows(KEY, 1_001), true, 'a cancelled trial is repeated');
    breaker.addRequest(KEY, 1_001);
    breaker.addFailure(KEY, 1_010);
    t.equal(breaker.allows(KEY, 2_500), false, 'the second pause is longer');
    breaker.addRequest(KEY, 3_010);
    breaker.addSuccess(KEY, 3_020);
    t.equal(breaker.getState(KEY, 3_020), CircuitState.Closed);
  });
});

tap.test('only the failure rate detects a server that fails three of four requests', async (t) => {
  const consecutive = new ConsecutiveFailureBreaker();
  const rate = new FailureRateBreaker();
  const open = new Set<string>();
  Array.from({ length: 40 }).forEach((_, index) => {
    [consecutive, rate].forEach((breaker) => {
      if (index % 4 === 0) breaker.addSuccess(KEY, index);
      else breaker.addFailure(KEY, index);
      if (!breaker.allows(KEY, index)) open.add(breaker.constructor.name);
    });
  });
  t.strictSame([...open], ['FailureRateBreaker']);
});

tap.test('the circuits of unknown servers are removed', async (t) => {
  const breaker = new FailureRateBreaker();
  addFailures(breaker, 0);
  breaker.retain(() => false);
  t.equal(breaker.allows(KEY, 0), true);
});
