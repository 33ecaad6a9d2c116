import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import { RouteSchema } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import ObjectiveClock from './index.js';

const ROUTE = create(RouteSchema, { name: 'stock', targetLatencyMs: 600 });

// Guards against a queue that keeps a returning caller beyond its objective.
tap.test('the objective of a returning caller counts from its first attempt', async (t) => {
  const clock = new ObjectiveClock();
  t.equal(clock.find(ROUTE, 1_500, 10_000), 10_600);
  t.equal(clock.find(ROUTE, 1_200, 10_300), 10_600);
});

tap.test('an objective never shrinks below a quarter of the target latency', async (t) => {
  const clock = new ObjectiveClock();
  clock.find(ROUTE, 1_500, 0);
  t.equal(clock.find(ROUTE, 100, 0), 150);
});

tap.test('a route without a target latency has no objective', async (t) => {
  t.equal(new ObjectiveClock().find(create(RouteSchema, { name: 'any' }), 1_000, 0), undefined);
});
