/** Command that sends an open-loop load to entry nodes. `node dist/bench/load.js --help` */
import { Command } from 'commander';

import runLoad from './runLoad/index.js';
import { writeResult } from './writeResult/index.js';

interface LoadFlags {
  entry: string[];
  rate: number;
  seconds: number;
  warmUpSeconds: number;
  method: string;
  path: string;
  host?: string;
  body?: string;
  name: string;
}

const flags = new Command('load')
  .description('Sends requests at a fixed rate and writes percentiles, a JSON file and a plot.')
  .requiredOption('--entry <url...>', 'base URLs, used in round-robin order')
  .option('--rate <n>', 'requests per second', Number, 500)
  .option('--seconds <n>', 'duration of the measurement', Number, 10)
  .option('--warm-up-seconds <n>', 'duration of the load before the measurement', Number, 2)
  .option('--method <method>', '', 'GET')
  .option('--path <path>', '', '/stock')
  .option('--host <host>', 'host header')
  .option('--body <text>', 'request body')
  .option('--name <name>', 'prefix of the file names', 'load')
  .parse()
  .opts<LoadFlags>();

const { sent, ...figures } = await runLoad({
  ratePerSecond: flags.rate,
  durationMs: flags.seconds * 1_000,
  warmUpMs: flags.warmUpSeconds * 1_000,
  entries: flags.entry,
  describeRequest: () => ({
    method: flags.method,
    path: flags.path,
    isIdempotent: flags.method === 'GET',
    ...(flags.host === undefined ? {} : { host: flags.host }),
    ...(flags.body === undefined ? {} : { body: flags.body }),
  }),
});
const sorted = sent.map((one) => one.latencyMs).sort((left, right) => left - right);
writeResult(flags.name, figures, {
  title: `Latency of ${flags.method} ${flags.path} at ${flags.rate}/s`,
  kind: 'line',
  xLabel: 'percentile',
  yLabel: 'latency (ms)',
  series: [
    {
      name: 'all requests',
      points: Array.from({ length: 1_000 }, (_, index) => [
        index / 10,
        sorted[Math.floor((index * sorted.length) / 1_000)] ?? 0,
      ]),
    },
  ],
});
