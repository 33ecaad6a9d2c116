/** Counts false verdicts over seeds: bad versions that are not found, good ones that are taken for bad. */
import tap from 'tap';

import { createSeededRandom } from '../../../../stand-ins/createSeededRandom/index.js';
import type { Random } from '../../../../stand-ins/createSeededRandom/index.js';
import { createTally } from '../_lib/tally/index.js';
import type { Tally } from '../_lib/tally/index.js';
import { VersionComparison } from './index.js';

const SEED = Number(process.env.SEED ?? 1);
const SEED_COUNT = Number(process.env.SEEDS ?? 40);
const TICK_MS = 250;
const END_MS = 40_000;
const SHARE = 0.08;

/** Part of the requests and median duration of each route. */
const ROUTES = [
  { route: 'lookups', part: 0.5, medianMs: 40 },
  { route: 'orders', part: 0.3, medianMs: 250 },
  { route: 'reports', part: 0.2, medianMs: 900 },
];

interface Behaviour {
  failing: number;
  /** Portion of the answers that take `factor` times as long. */
  slow: number;
  factor: number;
}

type Scenario = (isTarget: boolean, nowMs: number, route: string) => Partial<Behaviour>;

const drawPoisson = (random: Random, mean: number): number => {
  const limit = Math.exp(-mean);
  let product = random();
  let count = 0;
  while (product > limit) {
    product *= random();
    count += 1;
  }
  return count;
};

const drawAttempts = (
  random: Random,
  mean: number,
  medianMs: number,
  given: Partial<Behaviour>,
) => {
  const { failing = 0.002, slow = 0, factor = 1 } = given;
  const tally: Tally = createTally();
  Array.from({ length: drawPoisson(random, mean) }).forEach(() => {
    tally.requests += 1;
    if (random() < failing) {
      tally.failures += 1;
      return;
    }
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    const durationMs = medianMs * Math.exp(0.4 * normal) * (random() < slow ? factor : 1);
    const bucket = Math.max(0, Math.floor(2 * Math.log2(durationMs)));
    tally.durationCounts[bucket] = (tally.durationCounts[bucket] ?? 0) + 1;
  });
  return tally;
};

/** Bad answers after which a version must be found within a time. */
const BAD_ANSWERS = 50;

/** Leaves 2 s of the 5 s that the shortest known bound allows for reports, commit and messages. */
const MAX_LATE_MS = 3_000;

/** Plays one roll-out; returns how long after the 50th bad answer the version was found bad. */
const play = (scenario: Scenario, seed: number, requestsPerSecond: number): number | undefined => {
  const random = createSeededRandom(seed);
  const comparison = new VersionComparison();
  let badAnswers = 0;
  let limitReachedAtMs = Infinity;
  const findOrNone = (nowMs: number): number | undefined => {
    if (nowMs > END_MS) return undefined;
    const increments = ROUTES.map(({ route, part, medianMs }) => {
      const mean = (requestsPerSecond * part * TICK_MS) / 1_000;
      const [target, others] = [true, false].map((isTarget) =>
        drawAttempts(
          random,
          mean * (isTarget ? SHARE : 1 - SHARE),
          medianMs,
          scenario(isTarget, nowMs, route),
        ),
      ) as [Tally, Tally];
      const { slow = 0 } = scenario(true, nowMs, route);
      badAnswers += target.failures + (target.requests - target.failures) * slow;
      return { route, target, others };
    });
    comparison.add(increments, { comparesDurations: true, isPromoted: false }, nowMs);
    if (badAnswers >= BAD_ANSWERS) limitReachedAtMs = Math.min(limitReachedAtMs, nowMs);
    if (comparison.verdict().isBad) return Math.max(0, nowMs - limitReachedAtMs);
    return findOrNone(nowMs + TICK_MS);
  };
  return findOrNone(TICK_MS);
};

const playAll = (scenario: Scenario, requestsPerSecond: number): (number | undefined)[] =>
  Array.from({ length: SEED_COUNT }, (_, index) =>
    play(scenario, SEED * 1_000 + index, requestsPerSecond),
  );

const onTarget =
  (
    behaviour: Partial<Behaviour>,
    applies: (nowMs: number, route: string) => boolean = () => true,
  ) =>
  (isTarget: boolean, nowMs: number, route: string): Partial<Behaviour> =>
    isTarget && applies(nowMs, route) ? behaviour : {};

const BAD: Record<string, Scenario> = {
  'fails all': onTarget({ failing: 1 }),
  'fails a half': onTarget({ failing: 0.5 }),
  'fails a fifth': onTarget({ failing: 0.2 }),
  'is three times slower': onTarget({ slow: 1, factor: 3 }),
  'is six times slower': onTarget({ slow: 1, factor: 6 }),
  'is often four times slower': onTarget({ slow: 0.45, factor: 4 }),
  'fails from 20 s on': onTarget({ failing: 0.4 }, (nowMs) => nowMs > 20_000),
  'is slow from 20 s on': onTarget({ slow: 1, factor: 4 }, (nowMs) => nowMs > 20_000),
  'fails on one route': onTarget({ failing: 0.4 }, (_, route) => route === 'orders'),
  'is slow on one route': onTarget({ slow: 1, factor: 4 }, (_, route) => route === 'reports'),
};

const isBetween = (nowMs: number, fromMs: number, toMs: number) => nowMs >= fromMs && nowMs < toMs;

const GOOD: Record<string, Scenario> = {
  'is as good': () => ({}),
  'answers are lost on the way to both': () => ({ failing: 0.05 }),
  'one of 20 machines fails all': onTarget({ failing: 0.05 }),
  'one of eight machines fails a third': onTarget({ failing: 0.04 }),
  'one of ten machines is slow': onTarget({ slow: 0.1, factor: 5 }),
  'a burst slows both and fails a third': (_, nowMs) =>
    isBetween(nowMs, 10_000, 16_000) ? { failing: 0.33, slow: 1, factor: 4 } : {},
  'a zone is cut off': (isTarget, nowMs) =>
    isBetween(nowMs, 10_000, 12_000) ? { failing: isTarget ? 0.4 : 0.33 } : {},
  'a machine of the version is lost': (isTarget, nowMs) =>
    isTarget && isBetween(nowMs, 10_000, 10_500) ? { failing: 0.5 } : {},
};

// Guards against a bad version that gets all requests. At 600 requests/s, 48 a second reach it.
tap.test('bad versions are found soon after the 50th bad answer, if not before', async (t) => {
  t.comment(`seed ${SEED}, ${SEED_COUNT} runs each`);
  [600, 150].forEach((requestsPerSecond) => {
    const found = Object.entries(BAD).map(([name, scenario]) => {
      const latenesses = playAll(scenario, requestsPerSecond);
      const missed = latenesses.filter((latenessMs) => latenessMs === undefined).length;
      const latestMs = Math.max(...latenesses.map((latenessMs) => latenessMs ?? 0));
      t.comment(`${requestsPerSecond}/s ${name}: missed ${missed}, latest ${latestMs} ms after`);
      t.ok(latestMs <= MAX_LATE_MS, `${name}: within ${MAX_LATE_MS} ms`);
      return missed;
    });
    const missed = found.reduce((sum, count) => sum + count, 0);
    t.ok(missed <= (SEED_COUNT * found.length) / 100, `${missed} of all missed`);
  });
});

// Guards against taking back a good version because of what happens beside it.
tap.test('good versions are not taken for bad ones', async (t) => {
  [600, 150].forEach((requestsPerSecond) => {
    const taken = Object.entries(GOOD).map(([name, scenario]) => {
      const count = playAll(scenario, requestsPerSecond).filter((at) => at !== undefined).length;
      t.comment(`${requestsPerSecond}/s ${name}: taken for bad ${count} of ${SEED_COUNT}`);
      return count;
    });
    const wrong = taken.reduce((sum, count) => sum + count, 0);
    t.ok(wrong <= (SEED_COUNT * taken.length) / 50, `${wrong} of all taken for bad`);
  });
});
