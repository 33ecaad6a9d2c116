/** Runs the seeded soak test of workers that answer twice, with one line of JSON for each run. */
import { createSoakCommand, runSeeds } from './_lib/runSeeds.js';
import runStutters from './runStutters/index.js';

const program = createSoakCommand(
  'stutters',
  'let the workers of the platform programs answer twice and check that callers get their answers',
  8,
).parse();

await runSeeds(program.opts(), runStutters);
