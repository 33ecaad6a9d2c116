import tap from 'tap';

import { STUTTER_REGRESSIONS } from './regressions.js';
import runStutters from './runStutters/index.js';

const TIMEOUT_MS = 240_000;

tap.setTimeout(TIMEOUT_MS);

// Guards against answers of servers that answer twice which reach the caller of another request or not whole.
STUTTER_REGRESSIONS.forEach(({ seed, durationMs, cause }) =>
  tap.test(`stutters of seed ${seed}, which failed before: ${cause}`, async (t) => {
    const report = await runStutters({ seed, durationMs });
    t.comment(JSON.stringify(report));
    t.strictSame(report.violations.slice(0, 5), []);
    t.ok((report.ends['ANSWERED 200'] ?? 0) > 0, 'requests were answered');
    t.ok(Object.keys(report.stutters).length > 0, 'servers answered twice');
    t.ok(report.restarts > 0, 'nodes were restarted');
  }),
);
