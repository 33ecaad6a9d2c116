import tap from 'tap';

import createRandom from '../../../../test/requestMesh/createRandom.js';
import CostDistribution from './index.js';

// Guards against a request that has run long counting as nearly done, as its mean would say.
tap.test('a request with a heavy tail is expected to run longer the older it is', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const costs = new CostDistribution();
  Array.from({ length: 500 }).forEach(() => costs.add((random() < 0.03 ? 700 : 100) + random()));
  t.ok(Math.abs(costs.meanMs - 118) < 25, `${costs.meanMs}`);
  t.ok(costs.estimateRestMs(0) < 150);
  t.ok(costs.estimateRestMs(200) > 400, `${costs.estimateRestMs(200)}`);
});

// Guards against costs of an earlier load, and against memory that grows with the requests.
tap.test('the distribution follows a change of the load', async (t) => {
  const costs = new CostDistribution();
  Array.from({ length: 2_000 }).forEach(() => costs.add(50));
  Array.from({ length: 2_000 }).forEach(() => costs.add(400));
  t.ok(costs.meanMs > 320, `${costs.meanMs}`);
  t.ok(costs.sampleCount <= 600);
});

tap.test('without samples nothing is claimed', async (t) => {
  const costs = new CostDistribution();
  t.equal(costs.meanMs, 0);
  t.equal(costs.estimateRestMs(100), 50);
});
