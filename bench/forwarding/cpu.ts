/**
 * Measures the processor time per request of an entry node and the added latency in many short
 * rounds. Reports the best and the median round, because the best is hardly affected by other load
 * on the machine.
 *
 * Usage: `node dist/bench/forwarding/cpu.js [--rounds N] [--requests N] [--other WORKER]`
 *
 * `--other` is the path of `bench/forwarding/worker.js` of another build, whose entry nodes are
 * measured in the same rounds; the quartiles of the differences within rounds are reported.
 */
import { parseArgs } from 'node:util';

import { Pool } from 'undici';

import { startBenchmarkProcesses } from './_lib/startBenchmarkProcesses.js';

const CONCURRENCY = 4;
const US_PER_MS = 1_000;

const { values } = parseArgs({
  options: {
    rounds: { type: 'string', default: '40' },
    requests: { type: 'string', default: '400' },
    other: { type: 'string' },
  },
});

const sortAscending = (numbers: number[]): number[] =>
  numbers.toSorted((left, right) => left - right);
const getPercentile = (numbers: number[], share: number): number =>
  sortAscending(numbers)[Math.floor((numbers.length - 1) * share)] ?? 0;

const { workers, paths, stop } = await startBenchmarkProcesses(values.other);
const requests = Number(values.requests);
const measurements = paths.map((path) => ({
  name: path.name,
  worker: workers[path.name],
  pool: new Pool(`http://${path.address}`, { connections: CONCURRENCY, pipelining: 1 }),
  cpuUs: [] as number[],
  p50Us: [] as number[],
  p99Us: [] as number[],
}));

const runRound = async (measurement: (typeof measurements)[number]): Promise<void> => {
  const before = await measurement.worker?.readUsage();
  const latenciesUs: number[] = [];
  let left = requests;
  const caller = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      const startMs = performance.now();
      const { body } = await measurement.pool.request({ path: '/stock?item=7', method: 'GET' });
      await body.dump();
      latenciesUs.push((performance.now() - startMs) * US_PER_MS);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, caller));
  const after = await measurement.worker?.readUsage();
  measurement.cpuUs.push(((after?.cpuUs ?? 0) - (before?.cpuUs ?? 0)) / requests);
  measurement.p50Us.push(getPercentile(latenciesUs, 0.5));
  measurement.p99Us.push(getPercentile(latenciesUs, 0.99));
};

for (let round = 0; round < Number(values.rounds); round += 1) {
  for (let index = 0; index < measurements.length; index += 1) {
    await runRound(measurements[index] as (typeof measurements)[number]);
  }
}
const directP50Us = getPercentile(measurements[0]?.p50Us ?? [], 0);
const directP99Us = getPercentile(measurements[0]?.p99Us ?? [], 0);
measurements.forEach((measurement) => {
  const figures = {
    bestCpuUs: getPercentile(measurement.cpuUs, 0),
    medianCpuUs: getPercentile(measurement.cpuUs, 0.5),
    bestP50Us: getPercentile(measurement.p50Us, 0),
    bestP99Us: getPercentile(measurement.p99Us, 0),
    addedBestP50Us: getPercentile(measurement.p50Us, 0) - directP50Us,
    addedBestP99Us: getPercentile(measurement.p99Us, 0) - directP99Us,
  };
  const texts = Object.entries(figures).map(([name, value]) => `${name} ${value.toFixed(0)}`);
  process.stdout.write(`${measurement.name}: ${texts.join(', ')}\n`);
});
const OTHER_BUILD_SUFFIX = ', other build';
measurements
  .filter((measurement) => measurement.name.endsWith(OTHER_BUILD_SUFFIX))
  .forEach((measurement) => {
    const own = measurements.find(
      (candidate) => `${candidate.name}${OTHER_BUILD_SUFFIX}` === measurement.name,
    );
    const subtract = (ownValues: number[], otherValues: number[]): number[] =>
      ownValues.map((value, round) => value - (otherValues[round] ?? 0));
    const cpuUs = subtract(own?.cpuUs ?? [], measurement.cpuUs);
    const p50Us = subtract(own?.p50Us ?? [], measurement.p50Us);
    const quartiles = (numbers: number[]): string =>
      [0.25, 0.5, 0.75].map((share) => getPercentile(numbers, share).toFixed(0)).join(' / ');
    process.stdout.write(
      `${own?.name ?? ''}, this build minus the other (quartiles): ` +
        `cpu ${quartiles(cpuUs)} us, p50 ${quartiles(p50Us)} us\n`,
    );
  });
await Promise.all(measurements.map((measurement) => measurement.pool.close()));
stop();
