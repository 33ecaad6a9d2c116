/**
 * Compares server selectors in a simulation: equal servers, servers of different speed, and one
 * failing server.
 *
 * Usage: `node dist/bench/selectServers/index.js`
 */
import createRandom from '../../test/requestMesh/createRandom.js';
import { RoundRobinSelector, TwoChoicesSelector } from '../../src/request/index.js';
import { simulateSelection } from './_lib/simulateSelection.js';

import type { SimulatedServer } from './_lib/simulateSelection.js';

const REQUESTS = 60_000;

const random = createRandom((line) => process.stderr.write(`${line}\n`));

const scenarios: Record<string, SimulatedServer[]> = {
  'equal servers': Array.from({ length: 10 }, () => ({ slowness: 1 })),
  'speeds 1 to 4': Array.from({ length: 10 }, (_, index) => ({ slowness: 1 + index / 3 })),
  'one fails quickly': Array.from({ length: 10 }, (_, index) => ({
    slowness: 1,
    failureShare: index === 0 ? 1 : 0,
  })),
};

Object.entries(scenarios).forEach(([name, servers]) => {
  [0.5, 0.7, 0.85].forEach((load) => {
    const options = { servers, load, requests: REQUESTS, random };
    const results = {
      'round robin': simulateSelection({
        ...options,
        createSelector: () => new RoundRobinSelector(),
      }),
      'two choices': simulateSelection({
        ...options,
        createSelector: (parts) => new TwoChoicesSelector({ ...parts, dataCentre: 'a' }),
      }),
    };
    Object.entries(results).forEach(([selector, result]) => {
      const shares = result.shares.map((share) => share.toFixed(3)).join(' ');
      process.stdout.write(
        `${name}, load ${load}, ${selector}: p50 ${result.p50Ms.toFixed(1)} ms, ` +
          `p99 ${result.p99Ms.toFixed(1)} ms, failed ${result.failedShare.toFixed(4)}, ` +
          `shares ${shares}\n`,
      );
    });
  });
});
