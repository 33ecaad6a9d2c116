/** Command that measures control plane traffic, processor time and memory of nodes. */
import { setTimeout as sleep } from 'node:timers/promises';

import { Command } from 'commander';

import { createLargeSheet } from '../stand-ins/createSheet/index.js';
import measureUsage from './_lib/measureUsage.js';
import summarizeValues from './_lib/summarizeValues.js';
import withCluster from './_lib/withCluster.js';
import { writeResult } from './writeResult/index.js';

import type { TestCluster } from '../stand-ins/cluster/index.js';
import type { NodeUsage } from './_lib/measureUsage.js';

const MS_PER_SECOND = 1_000;
const SETTLE_MS = 5_000;

const flags = new Command('footprint')
  .option('--nodes <n>', 'total number of nodes in 3 data centres', Number, 12)
  .option('--idle-seconds <n>', 'measured time without changes', Number, 60)
  .option('--changes <n>', 'number of one-row changes to 33 services and 200 routes', Number, 20)
  .option('--spacing-ms <n>', 'interval between two changes', Number, 500)
  .parse()
  .opts<{ nodes: number; idleSeconds: number; changes: number; spacingMs: number }>();

const summarize = (usages: NodeUsage[]) => ({
  receivedBytesPerSecond: summarizeValues(usages.map((one) => one.receivedBytesPerSecond)),
  sentBytesPerSecond: summarizeValues(usages.map((one) => one.sentBytesPerSecond)),
  cpuPercentOfCore: summarizeValues(usages.map((one) => one.cpuPercentOfCore)),
  residentBytes: summarizeValues(usages.map((one) => one.residentBytes)),
});

const run = async (cluster: TestCluster): Promise<void> => {
  await cluster.applyUntilAccepted(1, createLargeSheet());
  await cluster.waitForVersion(1, { timeoutMs: 120_000 });
  await sleep(SETTLE_MS);
  const idle = await measureUsage(cluster, () => sleep(flags.idleSeconds * MS_PER_SECOND));
  const changing = await measureUsage(cluster, async () => {
    for (let change = 1; change <= flags.changes; change += 1) {
      await cluster.applyUntilAccepted(change + 1, createLargeSheet({ marker: change }));
      await cluster.waitForVersion(change + 1);
      await sleep(flags.spacingMs);
    }
  });
  const startedAt = performance.now();
  const perChange = await measureUsage(cluster, async () => {
    await cluster.applyUntilAccepted(flags.changes + 2, createLargeSheet({ marker: 999 }));
    await cluster.waitForVersion(flags.changes + 2);
  });
  const elapsedSeconds = (performance.now() - startedAt) / MS_PER_SECOND;
  const bytesOfOneChange = perChange.map(
    (usage, index) =>
      (usage.receivedBytesPerSecond - idle[index]!.receivedBytesPerSecond) * elapsedSeconds,
  );
  const figures = {
    nodes: cluster.nodes.length,
    idleSeconds: flags.idleSeconds,
    idle: summarize(idle),
    changing: summarize(changing),
    receivedBytesOfOneChange: summarizeValues(bytesOfOneChange),
    control: cluster.controls.map((control) => control.process.readUsage()),
  };
  writeResult(`footprint-${cluster.nodes.length}`, figures, {
    title: 'Control bytes received per node',
    kind: 'bar',
    xLabel: 'node',
    yLabel: 'bytes per second',
    series: [
      { name: 'idle', points: idle.map((one, index) => [index + 1, one.receivedBytesPerSecond]) },
      {
        name: `one change every ${flags.spacingMs} ms`,
        points: changing.map((one, index) => [index + 1, one.receivedBytesPerSecond]),
      },
    ],
  });
};

await withCluster({ nodesPerDataCentre: Math.ceil(flags.nodes / 3), isProxied: true }, run);
