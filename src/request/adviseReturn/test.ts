import tap from 'tap';

import createRandom from '../../../test/requestMesh/createRandom.js';
import adviseReturn from './index.js';

// Guards against a second peak when a burst was refused all at once.
tap.test('those refused together come back spread over the expected wait', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const pauses = Array.from({ length: 1_000 }, () =>
    adviseReturn({ expectedMs: 100, remainingMs: 1_500, random: random() }),
  );
  const inTenth = (from: number): number =>
    pauses.filter((pauseMs) => pauseMs >= from && pauseMs < from + 10).length;
  t.ok(Math.min(...pauses) >= 60 && Math.max(...pauses) <= 140);
  [60, 80, 100, 120].forEach((from) => t.ok(inTenth(from) < 200, `${inTenth(from)} of 1000`));
});

tap.test('a caller is never told to wait longer than a third of its time', async (t) => {
  t.equal(adviseReturn({ expectedMs: 5_000, remainingMs: 600, random: 0.5 }), 200);
  t.equal(adviseReturn({ expectedMs: undefined, remainingMs: 3_000, random: 0.5 }), 250);
  t.equal(adviseReturn({ expectedMs: 0, remainingMs: -5, random: 0.5 }), 0);
});
