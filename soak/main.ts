/** Plays seeded runs of the soak, one after another, and prints a line for each. */
import { Command, InvalidArgumentError } from 'commander';

import { chooseSeed } from '../stand-ins/createSeededRandom/index.js';
import runSoak from './runSoak/index.js';

const MS_PER_SECOND = 1_000;

const parseCount = (text: string): number => {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1) {
    throw new InvalidArgumentError('expected a whole number from 1 on');
  }
  return value;
};

const program = new Command('soak')
  .description('run the programs under faults drawn from a seed, and check what must always hold')
  .option('--seed <number>', 'first seed; drawn when left out', parseCount)
  .option('--count <number>', 'runs, each with the next seed', parseCount, 1)
  .option('--seconds <number>', 'length of the faults of a run', parseCount, 15)
  .option('--nodes <number>', 'nodes in each of the three data centres', parseCount, 2)
  .option('--rate <number>', 'requests a second', parseCount, 100)
  .option('--verbose', 'print the faults as they begin')
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
