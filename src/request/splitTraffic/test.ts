import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import createRandom from '../../../test/requestMesh/createRandom.js';
import { RouteSchema } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import TrafficSplit from './index.js';

const createSplitRoute = (weights: Record<string, number>, hasRelativeWeights = true) =>
  create(RouteSchema, {
    name: 'stock',
    hasRelativeWeights,
    targets: Object.entries(weights).map(([service, weight]) => ({
      service,
      ...(hasRelativeWeights ? { relativeWeight: weight } : { weightPercent: weight }),
    })),
  });

const countServices = (split: TrafficSplit, route: ReturnType<typeof createSplitRoute>) => {
  const counts = new Map<string, number>();
  Array.from({ length: 300 }).forEach(() => {
    const service = split.next(route) ?? 'none';
    counts.set(service, (counts.get(service) ?? 0) + 1);
  });
  return counts;
};

// Guards against random selection, whose share of 300 requests often deviates by more than 3%.
tap.test('a target gets its share of 300 requests to within one request per target', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const counts = countServices(new TrafficSplit(random), createSplitRoute({ old: 9, new: 1 }));
  t.ok(Math.abs((counts.get('new') ?? 0) - 30) <= 2, `${counts.get('new')}`);
  t.equal((counts.get('old') ?? 0) + (counts.get('new') ?? 0), 300);
});

tap.test('weights can be percentages', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const route = createSplitRoute({ old: 75, new: 25 }, false);
  const counts = countServices(new TrafficSplit(random), route);
  t.ok(Math.abs((counts.get('new') ?? 0) - 75) <= 2, `${counts.get('new')}`);
});

// Guards against a drained target that still gets requests.
tap.test('a target of weight 0 gets no requests', async (t) => {
  const split = new TrafficSplit(() => 0);
  t.strictSame([...countServices(split, createSplitRoute({ old: 0, new: 3 }))], [['new', 300]]);
  t.equal(split.next(createSplitRoute({ old: 0 })), undefined);
});
