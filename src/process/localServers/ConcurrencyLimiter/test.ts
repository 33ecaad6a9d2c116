import tap from 'tap';

import createRandom from '../../../../test/requestMesh/createRandom.js';
import { AdaptiveLimiter, FixedLimiter } from './index.js';

import type { ConcurrencyLimiter } from './index.js';

const SERVICE_MS = 10;
const STEPS = 40_000;

/**
 * Simulates a server with fewer workers than it announced, under constant demand for every slot.
 *
 * @returns mean concurrency, mean latency and throughput over the second half of the run
 */
const simulate = (limiter: ConcurrencyLimiter, workers: number, random: () => number) => {
  const freeAtMs = Array.from({ length: workers }, () => 0);
  const active: { startMs: number; endMs: number; inFlight: number }[] = [];
  const totals = { limit: 0, latencyMs: 0, count: 0, fromMs: 0, toMs: 0 };
  let nowMs = 0;
  Array.from({ length: STEPS }).forEach((_, step) => {
    while (active.length < limiter.limit) {
      const worker = freeAtMs.indexOf(Math.min(...freeAtMs));
      const serviceMs = -Math.log(1 - random()) * SERVICE_MS;
      const endMs = Math.max(nowMs, freeAtMs[worker] ?? 0) + serviceMs;
      freeAtMs[worker] = endMs;
      active.push({ startMs: nowMs, endMs, inFlight: active.length + 1 });
    }
    active.sort((left, right) => left.endMs - right.endMs);
    const done = active.shift();
    if (!done) return;
    nowMs = done.endMs;
    const latencyMs = done.endMs - done.startMs;
    limiter.add({ relativeCost: 1, inFlight: done.inFlight, isOverload: false }, nowMs);
    if (step < STEPS / 2) {
      totals.fromMs = nowMs;
      return;
    }
    totals.limit += limiter.limit;
    totals.latencyMs += latencyMs;
    totals.count += 1;
    totals.toMs = nowMs;
  });
  return {
    limit: totals.limit / totals.count,
    latencyMs: totals.latencyMs / totals.count,
    perSecond: (totals.count / (totals.toMs - totals.fromMs)) * 1_000,
  };
};

tap.test('a server with as many workers as slots keeps its throughput', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const fixed = simulate(new FixedLimiter(20), 20, random);
  const adaptive = simulate(new AdaptiveLimiter(20), 20, random);
  t.comment(JSON.stringify({ fixed, adaptive }));
  t.ok(adaptive.perSecond > fixed.perSecond * 0.85, 'throughput is kept');
});

tap.test('a server with fewer workers than slots queues less, at equal throughput', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const prepare = (limiter: ConcurrencyLimiter) => simulate(limiter, 5, random);
  const fixed = prepare(new FixedLimiter(20));
  const adaptive = prepare(new AdaptiveLimiter(20));
  t.comment(JSON.stringify({ fixed, adaptive }));
  t.ok(adaptive.latencyMs < fixed.latencyMs * 0.8, 'latency falls');
  t.ok(adaptive.perSecond > fixed.perSecond * 0.85, 'throughput is kept');
});

tap.test('shed requests lower the limit, which recovers afterwards', async (t) => {
  const limiter = new AdaptiveLimiter(10);
  let nowMs = 0;
  const add = (isOverload: boolean) => {
    nowMs += 10 / limiter.limit;
    limiter.add({ relativeCost: 1, inFlight: limiter.limit, isOverload }, nowMs);
  };
  Array.from({ length: 100 }).forEach(() => add(true));
  t.equal(limiter.limit, 8);
  const limits = Array.from({ length: 10_000 }, () => {
    add(false);
    return limiter.limit;
  });
  t.equal(Math.max(...limits), 10);
});
