/** Runs the seeded soak test of planned work once or several times, with one line of JSON for each. */
import { Command, InvalidArgumentError } from 'commander';

import { chooseSeed } from '../stand-ins/createSeededRandom/index.js';
import runStops from './runStops/index.js';

const MS_PER_SECOND = 1_000;

const parseCount = (text: string): number => {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1) {
    throw new InvalidArgumentError('expected an integer of at least 1');
  }
  return value;
};

const program = new Command('stops')
  .description('stop, start, reload and reconfigure the platform programs and check the guarantees')
  .option('--seed <number>', 'first seed; random by default', parseCount)
  .option('--count <number>', 'number of runs; each uses the next seed', parseCount, 1)
  .option('--seconds <number>', 'duration of the planned work in each run', parseCount, 10)
  .option('--nodes <number>', 'number of nodes', parseCount, 6)
  .option('--verbose', 'print each piece of planned work')
  .parse();

const options = program.opts<{
  seed?: number;
  count: number;
  seconds: number;
  nodes: number;
  verbose?: boolean;
}>();
const firstSeed = options.seed ?? chooseSeed();
let failedCount = 0;
for (let seed = firstSeed; seed < firstSeed + options.count; seed += 1) {
  const report = await runStops({
    seed,
    durationMs: options.seconds * MS_PER_SECOND,
    nodes: options.nodes,
    ...(options.verbose && { print: (line: string) => process.stderr.write(`${line}\n`) }),
  }).catch((error: unknown) => ({ seed, violations: [`the run ended: ${String(error)}`] }));
  if (report.violations.length > 0) failedCount += 1;
  process.stdout.write(`${JSON.stringify(report)}\n`);
}
process.stdout.write(`${options.count - failedCount} passed, ${failedCount} failed\n`);
process.exitCode = failedCount > 0 ? 1 : 0;
