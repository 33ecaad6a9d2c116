import tap from 'tap';

import { STOP_REGRESSIONS } from './regressions.js';
import runStops from './runStops/index.js';

const TIMEOUT_MS = 240_000;
const SEED = 20_261_205;
const DURATION_MS = 8_000;
const NODES = 6;

tap.setTimeout(TIMEOUT_MS);

// Guards against requests that are lost in planned work that overlaps (LOST, TWICE, REFUSED).
tap.test('planned work loses and doubles no request on kept connections', async (t) => {
  const report = await runStops({ seed: SEED, durationMs: DURATION_MS, nodes: NODES });
  t.comment(JSON.stringify(report));
  t.strictSame(report.violations.slice(0, 5), []);
  t.ok((report.ends['ANSWERED 200'] ?? 0) > 0, 'requests were answered');
  t.ok((report.work.STOP ?? 0) > 0, 'nodes were stopped');
});

const DISRUPTED_RUNS = [
  { seed: SEED, durationMs: DURATION_MS, cause: 'short run' },
  ...STOP_REGRESSIONS,
];

// Guards against stopping nodes that answer for a slow node's worker, runs at too many workers, and runs for
// clients that are gone (LOST, BUDGET, GONE).
DISRUPTED_RUNS.forEach(({ seed, durationMs, cause }) => {
  tap.test(
    `planned work beside slow nodes and full workers, seed ${seed} (${cause})`,
    async (t) => {
      const report = await runStops({ seed, durationMs, nodes: NODES, isDisrupted: true });
      t.comment(JSON.stringify(report));
      t.strictSame(report.violations.slice(0, 5), []);
      t.ok((report.ends['ANSWERED 200'] ?? 0) > 0, 'requests were answered');
      t.ok((report.work.STOP ?? 0) > 0, 'nodes were stopped');
      t.ok((report.work.SLOW ?? 0) + (report.work.SUSPEND ?? 0) > 0, 'nodes were slowed');
      t.ok((report.work.FILL ?? 0) + (report.work.OVERFILL ?? 0) > 0, 'workers were filled');
    },
  );
});
