/** Runs the seeded soak test once or several times and prints one line of JSON for each run. */
import { Command, InvalidArgumentError } from 'commander';

import { chooseSeed } from '../stand-ins/createSeededRandom/index.js';
import runSoak from './runSoak/index.js';

const MS_PER_SECOND = 1_000;

const parseCount = (text: string): number => {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1) {
    throw new InvalidArgumentError('expected an integer of at least 1');
  }
  return value;
};

const program = new Command('soak')
  .description('run the programs under seeded random faults and check the guarantees')
  .option('--seed <number>', 'first seed; random by default', parseCount)
  .option('--count <number>', 'number of runs; each uses the next seed', parseCount, 1)
  .option('--seconds <number>', 'duration of the faults in each run', parseCount, 15)
  .option('--nodes <number>', 'nodes in each of the three data centres', parseCount, 2)
  .option('--rate <number>', 'requests per second', parseCount, 100)
  .option('--verbose', 'print each fault when it is injected')
  .parse();

const options = program.opts<{
  seed?: number;
  count: number;
  seconds: number;
  nodes: number;
  rate: number;
  verbose?: boolean;
}>();
const firstSeed = options.seed ?? chooseSeed();
let failedCount = 0;
for (let seed = firstSeed; seed < firstSeed + options.count; seed += 1) {
  const report = await runSoak({
    seed,
    durationMs: options.seconds * MS_PER_SECOND,
    nodesPerDataCentre: options.nodes,
    ratePerSecond: options.rate,
    ...(options.verbose && { print: (line: string) => process.stderr.write(`${line}\n`) }),
  }).catch((error: unknown) => ({ seed, violations: [`the run ended: ${String(error)}`] }));
  if (report.violations.length > 0) failedCount += 1;
  process.stdout.write(`${JSON.stringify(report)}\n`);
}
process.stdout.write(`${options.count - failedCount} passed, ${failedCount} failed\n`);
process.exitCode = failedCount > 0 ? 1 : 0;
