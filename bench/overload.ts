/** Command that measures the goodput while the offered load exceeds the capacity. */
import { setTimeout as sleep } from 'node:timers/promises';

import { Command } from 'commander';

import { createOrderDeskSheet } from '../stand-ins/createSheet/index.js';
import { RequestOutcome } from '../stand-ins/recordingClient/index.js';
import { verifyOutcomes } from '../stand-ins/verifyOutcomes/index.js';
import withCluster from './_lib/withCluster.js';
import runLoad from './runLoad/index.js';
import { writeResult } from './writeResult/index.js';

import type { TestCluster } from '../stand-ins/cluster/index.js';
import type { SentRequest } from '../stand-ins/recordingClient/index.js';
import type { LoadResult } from './runLoad/index.js';

const MS_PER_SECOND = 1_000;
const SETTLE_MS = 2_000;

const flags = new Command('overload')
  .option('--factor <n>', 'offered load as a multiple of the capacity', Number, 3)
  .option('--seconds <n>', 'duration of the overload', Number, 30)
  .option('--slots <n>', 'slots of each of the 3 servers', Number, 20)
  .option('--service-ms <n>', 'service time of one request', Number, 50)
  .parse()
  .opts<{ factor: number; seconds: number; slots: number; serviceMs: number }>();

const countPerSecond = (sent: SentRequest[]): [number, number][] => {
  const startMs = sent[0]?.scheduledAtMs ?? 0;
  const counts = new Map<number, number>();
  sent
    .filter((one) => one.outcome === RequestOutcome.Answered)
    .forEach((one) => {
      const second = Math.floor((one.scheduledAtMs + one.latencyMs - startMs) / MS_PER_SECOND);
      counts.set(second, (counts.get(second) ?? 0) + 1);
    });
  return [...counts].sort(([left], [right]) => left - right);
};

const summarize = ({ sent, ...figures }: LoadResult) => ({ ...figures, requests: sent.length });

const run = async (cluster: TestCluster): Promise<void> => {
  await cluster.applyUntilAccepted(1, createOrderDeskSheet());
  await Promise.all(
    cluster.nodes.map((node) =>
      cluster.startBackend(node, {
        serverId: `desk-${node.name}`,
        service: 'order-desk',
        flags: ['--slots', String(flags.slots), '--service-ms', String(flags.serviceMs)],
      }),
    ),
  );
  await cluster.waitForVersion(1);
  await cluster.waitForServers('order-desk', cluster.nodes.length);
  await sleep(SETTLE_MS);
  const capacity = (cluster.nodes.length * flags.slots * MS_PER_SECOND) / flags.serviceMs;
  const runPhase = (name: string, share: number, seconds: number): Promise<LoadResult> =>
    runLoad({
      name,
      ratePerSecond: capacity * share,
      durationMs: seconds * MS_PER_SECOND,
      entries: cluster.nodes.map((node) => node.url),
      describeRequest: (index) =>
        index % 4 === 3
          ? { method: 'POST', path: '/orders', body: `bundle ${index}`, isIdempotent: false }
          : { method: 'GET', path: '/stock', isIdempotent: true },
    });
  const before = await runPhase('before', 0.8, 10);
  const overload = await runPhase('overload', flags.factor, flags.seconds);
  const after = await runPhase('after', 0.8, 10);
  const sent = [before, overload, after].flatMap((result) => result.sent);
  const figures = {
    capacityPerSecond: capacity,
    before: summarize(before),
    overload: summarize(overload),
    goodputShareOfCapacity: overload.goodputPerSecond / capacity,
    after: summarize(after),
    violations: verifyOutcomes(sent, cluster.readExecutions()).length,
  };
  writeResult('overload', figures, {
    title: `Goodput under ${flags.factor} times the capacity of ${capacity}/s`,
    kind: 'line',
    xLabel: 'time (s)',
    yLabel: 'exact answers per second',
    series: [{ name: 'goodput', points: countPerSecond(overload.sent) }],
  });
};

await withCluster({ nodesPerDataCentre: 1 }, run);
