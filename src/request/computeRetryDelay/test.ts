import tap from 'tap';

import createRandom from '../../../test/requestMesh/createRandom.js';
import computeRetryDelay from './index.js';

// Guards against a second peak after a whole burst was refused at once.
tap.test('requests refused together get delays spread around the expected wait', async (t) => {
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

tap.test('the delay is at most a third of the remaining time', async (t) => {
  const advise = (expectedMs: number | undefined, remainingMs: number) =>
    computeRetryDelay({ expectedMs, remainingMs, objectiveLeftMs: undefined, random: 0.5 });
  t.equal(advise(5_000, 600), 200);
  t.equal(advise(undefined, 3_000), 250);
  t.equal(advise(0, -5), 0);
});

// Guards against a retry that starts too late to meet the objective.
tap.test('the delay leaves time to meet the objective', async (t) => {
  const options = { expectedMs: 250, objectiveLeftMs: 300, remainingMs: 800, random: 0.5 };
  t.equal(computeRetryDelay(options), 105);
});
