import tap from 'tap';

import runFloods from './runFloods/index.js';

/** A short run; long ones are started by hand. */
const DURATION_MS = 8_000;
const CALLERS = 16;
const SEED = 54;
const TIMEOUT_MS = 120_000;

// Guards against a process that ends by itself, or a request lost on a kept connection, because of what other
// servers and callers send without end.
tap.test('nodes outlive bytes without end', { timeout: TIMEOUT_MS }, async (t) => {
  const report = await runFloods({ seed: SEED, durationMs: DURATION_MS, callers: CALLERS });
  t.comment(JSON.stringify(report));
  t.strictSame(report.violations.slice(0, 5), []);
  t.ok((report.ends['ANSWERED 200'] ?? 0) > 0, 'requests were answered');
  t.ok(report.connections > 0, 'faulty workers were called');
});
