import { build } from 'hdr-histogram-js';
import { Pool } from 'undici';

import type { Histogram } from 'hdr-histogram-js';

const US_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;
const MAX_LATENCY_US = 60_000_000;
const CONNECTIONS = 64;

/** Request path to the backend servers. */
export interface Path {
  name: string;
  address: string;
}

export interface PathResult {
  name: string;
  histogram: Histogram;
  count: number;
  errors: number;
}

export interface OpenLoopOptions {
  perSecond: number;
  durationMs: number;
  random: () => number;
}

/**
 * Sends an open-loop load with Poisson arrivals, each request on a random path.
 *
 * Latency is measured from the scheduled time, so that a stall counts for every request that it
 * delays.
 */
export const runOpenLoop = async (
  paths: Path[],
  options: OpenLoopOptions,
): Promise<PathResult[]> => {
  const pathStates = paths.map((path) => ({
    name: path.name,
    pool: new Pool(`http://${path.address}`, { connections: CONNECTIONS, pipelining: 1 }),
    histogram: build({ highestTrackableValue: MAX_LATENCY_US, numberOfSignificantValueDigits: 3 }),
    count: 0,
    errors: 0,
  }));
  const pending = new Set<Promise<void>>();
  const sendOne = async (
    pathState: (typeof pathStates)[number],
    scheduledMs: number,
  ): Promise<void> => {
    const target = pathState;
    try {
      const { statusCode, body } = await pathState.pool.request({
        path: '/stock?item=7',
        method: 'GET',
      });
      await body.dump();
      if (statusCode !== 200) target.errors += 1;
    } catch {
      target.errors += 1;
    }
    target.count += 1;
    target.histogram.recordValue(Math.round((performance.now() - scheduledMs) * US_PER_MS));
  };
  const startMs = performance.now();
  let nextMs = startMs;
  await new Promise<void>((resolve) => {
    const tick = (): void => {
      const nowMs = performance.now();
      while (nextMs <= nowMs) {
        const pathState = pathStates[Math.floor(options.random() * pathStates.length)];
        if (pathState) {
          const request = sendOne(pathState, nextMs).finally(() => pending.delete(request));
          pending.add(request);
        }
        nextMs += (-Math.log(1 - options.random()) * MS_PER_SECOND) / options.perSecond;
      }
      if (nowMs - startMs < options.durationMs) setImmediate(tick);
      else resolve();
    };
    tick();
  });
  await Promise.all(pending);
  await Promise.all(pathStates.map((pathState) => pathState.pool.close()));
  return pathStates;
};
