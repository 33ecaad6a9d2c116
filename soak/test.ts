import tap from 'tap';

import { REGRESSIONS } from './regressions.js';
import runSoak from './runSoak/index.js';

const TIMEOUT_MS = 240_000;
const SEED = 20_261_204;
const DURATION_MS = 8_000;

tap.setTimeout(TIMEOUT_MS);

const RUNS = [{ seed: SEED, durationMs: DURATION_MS, cause: 'short run' }, ...REGRESSIONS];

// Guards against guarantees that hold under each single fault but not under a combination.
RUNS.forEach(({ seed, durationMs, cause }) => {
  tap.test(`overlapping faults of seed ${seed} violate no guarantee (${cause})`, async (t) => {
    const report = await runSoak({ seed, durationMs, nodesPerDataCentre: 1, ratePerSecond: 60 });
    t.comment(JSON.stringify(report));
    t.strictSame(report.violations.slice(0, 5), []);
    t.ok((report.outcomes.answered ?? 0) > 0, 'requests were answered');
    t.ok(report.acknowledged > 0, 'changes were acknowledged');
    t.ok(report.faults > 5, 'faults were injected');
  });
});
