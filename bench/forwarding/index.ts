/**
 * Measures the latency and processor time that nodes add to a request: the direct path, one hop
 * with a grant, two hops, and two hops with round robin, interleaved in one run.
 *
 * Usage: `node dist/bench/forwarding/index.js [--per-second N] [--seconds N] [--json]`
 */
import { parseArgs } from 'node:util';

import createRandom from '../../test/requestMesh/createRandom.js';
import { runOpenLoop } from './_lib/runOpenLoop.js';
import { startBenchmarkProcesses } from './_lib/startBenchmarkProcesses.js';

import type { PathResult } from './_lib/runOpenLoop.js';

// With fewer warm-up requests the request path is still partly interpreted, unlike in a long-running
// node.
const WARM_UP_MS = 8_000;
const WARM_UP_PER_SECOND = 4_000;
const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;
const BYTES_PER_MEBIBYTE = 1_048_576;

const { values } = parseArgs({
  options: {
    'per-second': { type: 'string', default: '1000' },
    seconds: { type: 'string', default: '20' },
    json: { type: 'boolean', default: false },
  },
});

const random = createRandom((line) => process.stderr.write(`${line}\n`));

const { workers, owners, paths, stop } = await startBenchmarkProcesses();

const perSecond = Number(values['per-second']);
await runOpenLoop(paths, { perSecond: WARM_UP_PER_SECOND, durationMs: WARM_UP_MS, random });
const readAllUsages = () =>
  Promise.all(Object.values({ ...workers, owners }).map((worker) => worker.readUsage()));
const before = await readAllUsages();
const durationMs = Number(values.seconds) * MS_PER_SECOND;
const results = await runOpenLoop(paths, { perSecond, durationMs, random });
const after = await readAllUsages();

const getPercentileMs = (result: PathResult | undefined, percentile: number): number =>
  (result?.histogram.getValueAtPercentile(percentile) ?? 0) / US_PER_MS;
const [direct] = results;
const names = Object.keys(workers);
const rows = results.map((result) => {
  const index = names.indexOf(result.name);
  const cpuUs = (after[index]?.cpuUs ?? 0) - (before[index]?.cpuUs ?? 0);
  return {
    path: result.name,
    count: result.count,
    errors: result.errors,
    p50Ms: getPercentileMs(result, 50),
    p90Ms: getPercentileMs(result, 90),
    p99Ms: getPercentileMs(result, 99),
    p999Ms: getPercentileMs(result, 99.9),
    addedP50Ms: getPercentileMs(result, 50) - getPercentileMs(direct, 50),
    addedP99Ms: getPercentileMs(result, 99) - getPercentileMs(direct, 99),
    entryCpuUsPerRequest: index < 0 ? 0 : cpuUs / result.count,
    directShare:
      index < 0
        ? 0
        : ((after[index]?.directCount ?? 0) - (before[index]?.directCount ?? 0)) / result.count,
    residentMebibytes: (after[index]?.residentBytes ?? 0) / BYTES_PER_MEBIBYTE,
  };
});
const ownerIndex = names.length;
const forwardedCount = rows.reduce(
  (sum, row) => sum + (row.path === 'direct' ? 0 : row.count * (1 - row.directShare)),
  0,
);
const ownerCpuUs = (after[ownerIndex]?.cpuUs ?? 0) - (before[ownerIndex]?.cpuUs ?? 0);
const summary = { perSecond, rows, ownerCpuUsPerRequest: ownerCpuUs / forwardedCount };
if (values.json) {
  process.stdout.write(`${JSON.stringify(summary, undefined, 2)}\n`);
} else {
  rows.forEach((row) => {
    const figures = Object.entries(row)
      .filter(([name]) => name !== 'path')
      .map(([name, value]) => `${name} ${Number(value).toFixed(2)}`);
    process.stdout.write(`${row.path}: ${figures.join(', ')}\n`);
  });
  process.stdout.write(`ownerCpuUsPerRequest ${summary.ownerCpuUsPerRequest.toFixed(2)}\n`);
}
stop();
