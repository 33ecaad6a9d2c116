import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import { RouteSchema } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import ObjectiveEstimator from './index.js';

const ROUTE = create(RouteSchema, { name: 'stock', targetLatencyMs: 600 });

// Guards against queueing a retry beyond the objective of its caller.
tap.test('the objective of a retry counts from the first attempt', async (t) => {
  const estimator = new ObjectiveEstimator();
  t.strictSame(estimator.estimate(ROUTE, 1_500, 10_000), { endsAtMs: 10_600, isReturn: false });
  t.strictSame(estimator.estimate(ROUTE, 1_200, 10_300), { endsAtMs: 10_600, isReturn: true });
});

tap.test('an objective is at least a quarter of the target latency', async (t) => {
  const estimator = new ObjectiveEstimator();
  estimator.estimate(ROUTE, 1_500, 0);
  t.equal(estimator.estimate(ROUTE, 100, 0).endsAtMs, 150);
});

tap.test('a route without a target latency has no objective', async (t) => {
  const route = create(RouteSchema, { name: 'any' });
  t.equal(new ObjectiveEstimator().estimate(route, 1_000, 0).endsAtMs, undefined);
});
