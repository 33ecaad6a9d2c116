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

import { startFleet } from './_lib/startFleet.js';

const CONCURRENCY = 4;
const US_PER_MS = 1_000;

const { values } = parseArgs({
  options: {
    rounds: { type: 'string', default: '40' },
    requests: { type: 'string', default: '400' },
    other: { type: 'string' },
  },
});

const sort = (numbers: number[]): number[] => numbers.toSorted((left, right) => left - right);
const pick = (numbers: number[], share: number): number =>
  sort(numbers)[Math.floor((numbers.length - 1) * share)] ?? 0;

const { workers, paths, stop } = await startFleet(values.other);
const requests = Number(values.requests);
const lanes = paths.map((path) => ({
  name: path.name,
  worker: workers[path.name],
  pool: new Pool(`http://${path.address}`, { connections: CONCURRENCY, pipelining: 1 }),
  cpuUs: [] as number[],
  p50Us: [] as number[],
  p99Us: [] as number[],
}));

const runRound = async (lane: (typeof lanes)[number]): Promise<void> => {
  const before = await lane.worker?.readUsage();
  const latenciesUs: number[] = [];
  let left = requests;
  const caller = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      const startMs = performance.now();
      const { body } = await lane.pool.request({ path: '/stock?item=7', method: 'GET' });
      await body.dump();
      latenciesUs.push((performance.now() - startMs) * US_PER_MS);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, caller));
  const after = await lane.worker?.readUsage();
  lane.cpuUs.push(((after?.cpuUs ?? 0) - (before?.cpuUs ?? 0)) / requests);
  lane.p50Us.push(pick(latenciesUs, 0.5));
  lane.p99Us.push(pick(latenciesUs, 0.99));
};

for (let round = 0; round < Number(values.rounds); round += 1) {
  for (let index = 0; index < lanes.length; index += 1) {
    await runRound(lanes[index] as (typeof lanes)[number]);
  }
}
const directP50Us = pick(lanes[0]?.p50Us ?? [], 0);
const directP99Us = pick(lanes[0]?.p99Us ?? [], 0);
lanes.forEach((lane) => {
  const figures = {
    bestCpuUs: pick(lane.cpuUs, 0),
    medianCpuUs: pick(lane.cpuUs, 0.5),
    bestP50Us: pick(lane.p50Us, 0),
    bestP99Us: pick(lane.p99Us, 0),
    addedBestP50Us: pick(lane.p50Us, 0) - directP50Us,
    addedBestP99Us: pick(lane.p99Us, 0) - directP99Us,
  };
  const texts = Object.entries(figures).map(([name, value]) => `${name} ${value.toFixed(0)}`);
  process.stdout.write(`${lane.name}: ${texts.join(', ')}\n`);
});
const OTHER = ', other build';
lanes
  .filter((lane) => lane.name.endsWith(OTHER))
  .forEach((lane) => {
    const own = lanes.find((candidate) => `${candidate.name}${OTHER}` === lane.name);
    const subtract = (mine: number[], other: number[]): number[] =>
      mine.map((value, round) => value - (other[round] ?? 0));
    const cpuUs = subtract(own?.cpuUs ?? [], lane.cpuUs);
    const p50Us = subtract(own?.p50Us ?? [], lane.p50Us);
    const quartiles = (numbers: number[]): string =>
      [0.25, 0.5, 0.75].map((share) => pick(numbers, share).toFixed(0)).join(' / ');
    process.stdout.write(
      `${own?.name ?? ''}, this build minus the other (quartiles): ` +
        `cpu ${quartiles(cpuUs)} us, p50 ${quartiles(p50Us)} us\n`,
    );
  });
await Promise.all(lanes.map((lane) => lane.pool.close()));
stop();
