/** Runs the seeded soak test of planned work once or several times, with one line of JSON for each. */
import { createSoakCommand, parseCount, runSeeds } from './_lib/runSeeds.js';
import runStops from './runStops/index.js';

const program = createSoakCommand(
  'stops',
  'stop, start, reload and reconfigure the platform programs and check the guarantees',
  10,
)
  .option('--nodes <number>', 'number of nodes', parseCount, 6)
  .option('--disrupted', 'slow nodes and fill workers beside the planned work')
  .parse();

const {
  nodes,
  disrupted = false,
  ...options
} = program.opts<{
  seed?: number;
  count: number;
  seconds: number;
  nodes: number;
  disrupted?: boolean;
  verbose?: boolean;
}>();
await runSeeds(options, (run) => runStops({ ...run, nodes, isDisrupted: disrupted }));
