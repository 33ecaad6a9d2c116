/** Command that measures the time from acceptance of a version until it is in force on all nodes. */
import { Command } from 'commander';

import { createLargeSheet } from '../stand-ins/createSheet/index.js';
import withCluster from './_lib/withCluster.js';
import summarizeLatencies from './summarizeLatencies/index.js';
import { writeResult } from './writeResult/index.js';

import type { TestCluster } from '../stand-ins/cluster/index.js';

const DATA_CENTRES = ['dc-1', 'dc-2', 'dc-3'];

const flags = new Command('convergence')
  .option('--nodes <n>', 'total number of nodes in 3 data centres', Number, 12)
  .option('--changes <n>', 'number of versions to apply', Number, 50)
  .parse()
  .opts<{ nodes: number; changes: number }>();

interface Convergence {
  applyMs: number;
  /** Time from acceptance until the version was in force on each node. */
  nodesMs: number[];
}

const applyChange = async (cluster: TestCluster, version: number): Promise<Convergence> => {
  const startedAt = performance.now();
  const answer = await cluster.apply(version, createLargeSheet({ marker: version }));
  const applyMs = performance.now() - startedAt;
  if (answer.outcome !== 'ACCEPTED') throw new Error(`version ${version}: ${answer.outcome}`);
  const status = await cluster.waitForVersion(version, { timeoutMs: 60_000 });
  const { acceptedAtMs } = status.accepted!;
  return {
    applyMs,
    nodesMs: status.nodes.list.map((node) => Math.max(0, node.inForceAtMs - acceptedAtMs)),
  };
};

const run = async (cluster: TestCluster): Promise<void> => {
  await cluster.applyUntilAccepted(1, createLargeSheet());
  const startedAt = performance.now();
  await cluster.waitForVersion(1, { timeoutMs: 120_000 });
  const startMs = performance.now() - startedAt;
  const changes: Convergence[] = [];
  while (changes.length < flags.changes) {
    changes.push(await applyChange(cluster, changes.length + 2));
  }
  const slowest = changes.map(({ nodesMs }) => Math.max(...nodesMs));
  const figures = {
    nodes: cluster.nodes.length,
    changes: changes.length,
    firstInstallMs: startMs,
    applyMs: summarizeLatencies(changes.map(({ applyMs }) => applyMs)),
    eachNodeMs: summarizeLatencies(changes.flatMap(({ nodesMs }) => nodesMs)),
    allNodesMs: summarizeLatencies(slowest),
  };
  writeResult(`convergence-${cluster.nodes.length}`, figures, {
    title: `Time until a version is in force on all ${cluster.nodes.length} nodes`,
    kind: 'line',
    xLabel: 'change',
    yLabel: 'time after acceptance (ms)',
    series: [{ name: 'slowest node', points: slowest.map((timeMs, index) => [index + 1, timeMs]) }],
  });
};

const nodesPerDataCentre = Math.ceil(flags.nodes / DATA_CENTRES.length);
await withCluster({ dataCentres: DATA_CENTRES, nodesPerDataCentre }, run);
