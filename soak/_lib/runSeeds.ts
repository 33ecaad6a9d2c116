/** Command line of the soak tests: runs of consecutive seeds, with one line of JSON for each. */
import { Command, InvalidArgumentError } from 'commander';

import { chooseSeed } from '../../stand-ins/createSeededRandom/index.js';

const MS_PER_SECOND = 1_000;

/** Parses a whole number of at least 1. */
export const parseCount = (text: string): number => {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1) {
    throw new InvalidArgumentError('expected an integer of at least 1');
  }
  return value;
};

/** Options that all soak tests have. */
interface SeedOptions {
  seed?: number;
  count: number;
  seconds: number;
  verbose?: boolean;
}

/** One run of a soak test. */
export interface SeedRun {
  seed: number;
  durationMs: number;
  /** Prints a line of progress; set if asked for. */
  print?: (line: string) => void;
}

/**
 * Creates the command of a soak test.
 *
 * @param name - name of the command
 * @param description - what the test does
 * @param defaultSeconds - duration of the faults in each run
 */
export const createSoakCommand = (
  name: string,
  description: string,
  defaultSeconds: number,
): Command =>
  new Command(name)
    .description(description)
    .option('--seed <number>', 'first seed; random by default', parseCount)
    .option('--count <number>', 'number of runs; each uses the next seed', parseCount, 1)
    .option('--seconds <number>', 'duration of the faults in each run', parseCount, defaultSeconds)
    .option('--verbose', 'print each fault when it is injected');

/**
 * Runs the seeds that the command line asks for, prints the reports, and sets the exit code to 1 if a
 * guarantee was violated.
 *
 * @param options - parsed options of the command
 * @param runOnce - runs one seed; an error counts as a violation
 */
export const runSeeds = async (
  options: SeedOptions,
  runOnce: (run: SeedRun) => Promise<{ violations: string[] }>,
): Promise<void> => {
  const firstSeed = options.seed ?? chooseSeed();
  let failedCount = 0;
  for (let seed = firstSeed; seed < firstSeed + options.count; seed += 1) {
    const report = await runOnce({
      seed,
      durationMs: options.seconds * MS_PER_SECOND,
      ...(options.verbose && { print: (line: string) => process.stderr.write(`${line}\n`) }),
    }).catch((error: unknown) => ({ seed, violations: [`the run ended: ${String(error)}`] }));
    if (report.violations.length > 0) failedCount += 1;
    process.stdout.write(`${JSON.stringify(report)}\n`);
  }
  process.stdout.write(`${options.count - failedCount} passed, ${failedCount} failed\n`);
  process.exitCode = failedCount > 0 ? 1 : 0;
};
