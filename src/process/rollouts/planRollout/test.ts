import fc from 'fast-check';
import tap from 'tap';

import { createRoutedConfiguration } from '../../../../stand-ins/rollouts/index.js';
import { SETTLE_MS, computeDrainMs, computeMinDurationMs, planRollout } from './index.js';

// Guards against an order that is accepted but leaves no time to observe or to empty old servers.
tap.test('each accepted duration leaves time for every stage', async (t) => {
  const durations = fc.tuple(
    fc.integer({ min: 1, max: 60_000 }),
    fc.integer({ min: 0, max: 3_600_000 }),
  );
  fc.assert(
    fc.property(durations, ([timeoutMs, extraMs]) => {
      const configuration = createRoutedConfiguration(['desk'], timeoutMs);
      const durationMs = computeMinDurationMs(configuration, 'desk') + extraMs;
      const plan = planRollout(durationMs, computeDrainMs(configuration, 'desk'));
      const restMs = durationMs - plan.promoteByMs;
      return (
        restMs >= SETTLE_MS + plan.drainMs &&
        plan.promoteByMs >= 1_000 &&
        plan.judgeFromMs + plan.rampMs < plan.promoteByMs &&
        plan.judgeFromMs > plan.warmUpMs
      );
    }),
  );
  t.pass('all durations');
});

tap.test('old servers are given the longest timeout of the routes, within a limit', async (t) => {
  const drain = (timeoutMs: number) =>
    computeDrainMs(createRoutedConfiguration(['desk'], timeoutMs), 'desk');
  t.equal(drain(6_000), 6_000);
  t.equal(drain(100), 500, 'that of the service');
  t.equal(drain(600_000), 10_000);
  t.equal(computeDrainMs(undefined, 'desk'), 2_000);
});
