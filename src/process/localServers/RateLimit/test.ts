import tap from 'tap';

import createRandom from '../../../../test/requestMesh/createRandom.js';
import RateLimit from './index.js';

/** Sends a request whenever the limit allows it, at random times; returns when they were sent. */
const sendAtRandomTimes = (limit: RateLimit, random: () => number): number[] => {
  const sentAtMs: number[] = [];
  let nowMs = 0;
  while (nowMs < 60_000) {
    if (limit.hasToken(nowMs)) {
      limit.take(nowMs);
      sentAtMs.push(nowMs);
    }
    // Includes pauses such as those of a suspended process.
    nowMs += random() < 0.01 ? random() * 5_000 : random() * 10;
  }
  return sentAtMs;
};

// Guards against a burst after a pause that exceeds what the server named.
tap.test('no window of four seconds gets more than one and a half times the limit', async (t) => {
  const random = createRandom((line) => t.comment(line));
  [0, 0.3, 1, 5, 31.3, 200].forEach((perSecond) => {
    const sentAtMs = sendAtRandomTimes(new RateLimit(perSecond, 0), random);
    const most = Math.max(
      ...sentAtMs.map(
        (fromMs) => sentAtMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + 4_000).length,
      ),
    );
    t.ok(most <= perSecond * 4 * 1.5 + 5, `${most} at ${perSecond} per second`);
    t.ok(sentAtMs.length > 0, 'an answer can lift the limit');
  });
});

// Guards against waiting requests whose timer fires a moment before the token is there.
tap.test('a request may be sent after the wait that was computed', async (t) => {
  const limit = new RateLimit(7, 0);
  let nowMs = 0;
  Array.from({ length: 50 }).forEach(() => {
    nowMs += limit.computeWaitMs(0, nowMs);
    t.equal(limit.hasToken(nowMs), true);
    limit.take(nowMs);
  });
});

// Guards against a clock that steps back and would withhold or multiply tokens.
tap.test('a clock that steps back neither adds nor withholds tokens for long', async (t) => {
  const limit = new RateLimit(1, 10_000);
  t.equal(limit.hasToken(2_000), false);
  t.equal(limit.hasToken(3_000), true);
});
