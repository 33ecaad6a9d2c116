/**
 * Measures distribution from one control VM to nodes in the same process, on loopback: convergence
 * time from commit to the last report, bytes per node and change, and traffic of idle nodes.
 *
 * Run: npm run build && node dist/bench/distribution.js [nodes]
 */
import { setTimeout as sleep } from 'node:timers/promises';

import { toBinary } from '@bufbuild/protobuf';
import { chooseSeed, createSeededRandom } from '../stand-ins/createSeededRandom/index.js';
import {
  buildSizedConfiguration,
  startControl,
  startNode,
  waitUntil,
} from '../stand-ins/distributionCluster/index.js';
import { FaultProxy } from '../stand-ins/faultProxy/index.js';
import { LogLevel, setLogLevel } from '../src/process/log/index.js';
import { createDelta } from '../src/version/createDelta/index.js';
import {
  ConfigurationDeltaSchema,
  ConfigurationSchema,
} from '../src/_generated/foxtailvane/v1/configuration_pb.js';

import type { TestControl } from '../stand-ins/distributionCluster/index.js';

const CHANGES = 60;
const CHANGE_INTERVAL_MS = 50;
const IDLE_MS = 20_000;
const SETTLE_MS = 3_000;

const nodeCount = Number(process.argv[2] ?? 100);
const seed = chooseSeed();
const random = createSeededRandom(seed);

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const summarize = (values: number[]): string => {
  const sorted = values.toSorted((left, right) => left - right);
  const formatAt = (share: number): string =>
    (sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0).toFixed(1);
  return `p50 ${formatAt(0.5)}, p90 ${formatAt(0.9)}, p99 ${formatAt(0.99)}, max ${formatAt(1)}`;
};

const countReports = (control: TestControl, version: number): number =>
  control.hub.nodeStatuses.listOwnReports().filter((report) => report.version === version).length;

const commitAndWait = async (control: TestControl, version: number): Promise<number> => {
  const configuration = buildSizedConfiguration(version, { firstTimeoutMs: version });
  const startedAtMs = performance.now();
  const done = new Promise<void>((resolve) => {
    const unsubscribe = control.hub.nodeStatuses.onOwnChanged(() => {
      if (countReports(control, version) === nodeCount) {
        unsubscribe();
        resolve();
      }
    });
  });
  control.log.commit(configuration, Date.now());
  await done;
  return performance.now() - startedAtMs;
};

setLogLevel(LogLevel.Error);
print(`nodes ${nodeCount}, 33 services, 200 routes, seed ${seed}`);
const delta = createDelta(
  buildSizedConfiguration(1),
  buildSizedConfiguration(2, { firstTimeoutMs: 2 }),
);
const deltaBytes = delta.map((change) => toBinary(ConfigurationDeltaSchema, change).length);
const snapshotLength = toBinary(ConfigurationSchema, buildSizedConfiguration(1)).length;
print(`payload: snapshot ${snapshotLength} bytes, one-row delta ${deltaBytes.unwrapOr(0)} bytes`);

const control = await startControl('control-1', { random });
const proxy = new FaultProxy(control.address, { seed });
const target = { address: await proxy.start(), dataCentre: 'dc1' };
const nodes = Array.from({ length: nodeCount }, (_, index) =>
  startNode(`node-${String(index).padStart(3, '0')}`, [target], { random }),
);
await waitUntil('every node has the records of all nodes', () =>
  nodes.every((node) => node.directory.records().length === nodeCount),
);
await sleep(SETTLE_MS);

const snapshotBefore = { ...proxy.bytes };
print(`first version to all nodes: ${(await commitAndWait(control, 1)).toFixed(0)} ms`);
await sleep(SETTLE_MS);
const snapshotBytes = proxy.bytes.toClient - snapshotBefore.toClient;
print(`first version: ${(snapshotBytes / nodeCount).toFixed(0)} bytes per node on the wire`);

const convergencesMs: number[] = [];
const bytesBefore = {
  deltas: control.hub.meter.read('sent', 'delta'),
  reports: control.hub.meter.read('received', 'inForce'),
};
for (let version = 2; version < 2 + CHANGES; version += 1) {
  convergencesMs.push(await commitAndWait(control, version));
  await sleep(CHANGE_INTERVAL_MS);
}
const formatPerNode = (bytes: number): string => (bytes / nodeCount / CHANGES).toFixed(1);
const sentBytes = control.hub.meter.read('sent', 'delta') - bytesBefore.deltas;
const reportBytes = control.hub.meter.read('received', 'inForce') - bytesBefore.reports;
print(`${CHANGES} one-row changes, commit to last report, ms: ${summarize(convergencesMs)}`);
print(
  `bytes per node and change: ${formatPerNode(sentBytes)} down, ${formatPerNode(reportBytes)} up`,
);

await sleep(SETTLE_MS);
const idleBefore = { ...proxy.bytes };
const cpuBefore = process.cpuUsage();
await sleep(IDLE_MS);
const formatIdleRate = (after: number, before: number): string =>
  ((after - before) / nodeCount / (IDLE_MS / 1_000)).toFixed(1);
const down = formatIdleRate(proxy.bytes.toClient, idleBefore.toClient);
const up = formatIdleRate(proxy.bytes.toTarget, idleBefore.toTarget);
const cpu = process.cpuUsage(cpuBefore);
const cpuShare = ((cpu.user + cpu.system) / 1_000 / IDLE_MS) * 100;
print(`idle bytes/s per node on the wire, with HTTP/2 frames: ${down} down, ${up} up`);
print(`idle processor share of all nodes, control VM and proxy together: ${cpuShare.toFixed(1)}%`);

await Promise.all(nodes.map((node) => node.stop()));
await proxy.stop();
await control.stop();
