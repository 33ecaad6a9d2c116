import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import { RouteSchema } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import ObjectiveEstimator from './index.js';

const ROUTE = create(RouteSchema, { name: 'stock', targetLatencyMs: 600 });

// Guards against a queue that keeps a returning caller beyond its objective.
tap.test('the objective of a returning caller counts from its first attempt', async (t) => {
  const clock = new ObjectiveEstimator();
  t.strictSame(clock.estimate(ROUTE, 1_500, 10_000), { endsAtMs: 10_600, isReturn: false });
  t.strictSame(clock.estimate(ROUTE, 1_200, 10_300), { endsAtMs: 10_600, isReturn: true });
});

tap.test('an objective never shrinks below a quarter of the target latency', async (t) => {
  const clock = new ObjectiveEstimator();
  clock.estimate(ROUTE, 1_500, 0);
  t.equal(clock.estimate(ROUTE, 100, 0).endsAtMs, 150);
});

tap.test('a route without a target latency has no objective', async (t) => {
  const route = create(RouteSchema, { name: 'any' });
  t.equal(new ObjectiveEstimator().estimate(route, 1_000, 0).endsAtMs, undefined);
});
