import tap from 'tap';

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
