import tap from 'tap';

import createRandom from '../../../test/requestMesh/createRandom.js';
import { createRoute } from '../../../test/requestMesh/index.js';
import pickTarget from './pickTarget.js';

tap.test('traffic is split by weight; a weight of 0 gets none', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const targets = [
    { service: 'none', weightPercent: 0 },
    { service: 'old', weightPercent: 90 },
    { service: 'new', weightPercent: 10 },
  ];
  const route = createRoute({ targets: targets as never });
  const draws = Array.from({ length: 20_000 }, () => pickTarget(route, random()));
  const shareOf = (name: string) => draws.filter((draw) => draw === name).length / draws.length;
  t.equal(shareOf('none'), 0);
  t.ok(Math.abs(shareOf('new') - 0.1) < 0.02, `${shareOf('new')}`);
});

tap.test('numbers at the ends of the range pick the first and the last service', async (t) => {
  const targets = [
    { service: 'old', weightPercent: 50 },
    { service: 'new', weightPercent: 50 },
  ];
  const route = createRoute({ targets: targets as never });
  t.equal(pickTarget(route, 0), 'old');
  t.equal(pickTarget(route, 1 - Number.EPSILON), 'new');
});
