/** Runs the seeded soak test of bytes without end, with one line of JSON for each run. */
import { createSoakCommand, parseCount, runSeeds } from './_lib/runSeeds.js';
import runFloods from './runFloods/index.js';

const DEFAULT_CALLERS = 24;

const program = createSoakCommand(
  'floods',
  'let workers and callers of the platform programs send bytes without end',
  12,
)
  .option(
    '--callers <number>',
    'callers of faulty workers at each node',
    parseCount,
    DEFAULT_CALLERS,
  )
  .parse();

const { callers, ...options } = program.opts<{
  seed?: number;
  count: number;
  seconds: number;
  callers: number;
  verbose?: boolean;
}>();
await runSeeds(options, (run) => runFloods({ ...run, callers }));
