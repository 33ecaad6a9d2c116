import tap from 'tap';

import createRandom from '../../../test/requestMesh/createRandom.js';
import computeRetryDelay from './index.js';

// Guards against a second peak when a burst was refused all at once.
tap.test('those refused together come back spread over the expected wait', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const pauses = Array.from({ length: 1_000 }, () =>
    computeRetryDelay({
      expectedMs: 100,
      objectiveLeftMs: undefined,
      remainingMs: 1_500,
      random: random(),
    }),
  );
  const inTenth = (from: number): number =>
    pauses.filter((pauseMs) => pauseMs >= from && pauseMs < from + 10).length;
  t.ok(Math.min(...pauses) >= 60 && Math.max(...pauses) <= 140);
  [60, 80, 100, 120].forEach((from) => t.ok(inTenth(from) < 200, `${inTenth(from)} of 1000`));
});

tap.test('a caller is never told to wait longer than a third of its time', async (t) => {
  const advise = (expectedMs: number | undefined, remainingMs: number) =>
    computeRetryDelay({ expectedMs, remainingMs, objectiveLeftMs: undefined, random: 0.5 });
  t.equal(advise(5_000, 600), 200);
  t.equal(advise(undefined, 3_000), 250);
  t.equal(advise(0, -5), 0);
});

// Guards against a second attempt that can only be late.
tap.test('a caller comes back while its objective can still be met', async (t) => {
  const options = { expectedMs: 250, objectiveLeftMs: 300, remainingMs: 800, random: 0.5 };
  t.equal(computeRetryDelay(options), 105);
});
