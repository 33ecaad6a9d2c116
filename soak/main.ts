/** Runs the seeded soak test once or several times and prints one line of JSON for each run. */
import { createSoakCommand, parseCount, runSeeds } from './_lib/runSeeds.js';
import runSoak from './runSoak/index.js';

const program = createSoakCommand(
  'soak',
  'run the programs under seeded random faults and check the guarantees',
  15,
)
  .option('--nodes <number>', 'nodes in each of the three data centres', parseCount, 2)
  .option('--rate <number>', 'requests per second', parseCount, 100)
  .parse();

const { nodes, rate, ...options } = program.opts<{
  seed?: number;
  count: number;
  seconds: number;
  nodes: number;
  rate: number;
  verbose?: boolean;
}>();
await runSeeds(options, (run) =>
  runSoak({ ...run, nodesPerDataCentre: nodes, ratePerSecond: rate }),
);
