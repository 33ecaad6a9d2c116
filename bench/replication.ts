/**
 * Measures the replicated log on loopback with 3 and 5 members in one process: latency of `propose`
 * at the leader and through a follower, latency of a synced append alone, and memory per accepted
 * version.
 *
 * Run: npm run build && node --expose-gc dist/bench/replication.js
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setImmediate as nextTurn } from 'node:timers/promises';

import { toBinary } from '@bufbuild/protobuf';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

import { ConfigurationSchema } from '../src/_generated/foxtailvane/v1/configuration_pb.js';
import { AcceptedVersions } from '../src/process/replication/_lib/AcceptedVersions/index.js';
import validateChange from '../src/process/replication/_lib/validateChange/index.js';
import { DurableStorage } from '../src/process/storage/DurableStorage/index.js';
import { ControlCluster, createChange } from '../stand-ins/controlCluster/index.js';
import { unwrapResult } from '../stand-ins/unwrapResult/index.js';

const SEED = 1;
const PROPOSALS = 500;
const APPENDS = 500;
const SERVICES = 33;
const HELD_VERSIONS = 600;
const MAX_BYTES = 1024 * 1024;
const GC_ROUNDS = 5;
const US_PER_MS = 1_000;

const createHistogram = (): Histogram =>
  build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });

const recordDuration = async (
  histogram: Histogram,
  operation: () => Promise<unknown>,
): Promise<void> => {
  const startedAtMs = performance.now();
  await operation();
  histogram.recordValue(Math.round((performance.now() - startedAtMs) * US_PER_MS));
};

const printLatencies = (name: string, histogram: Histogram): void => {
  const [p50, p99, max] = [50, 99, 100].map((percentile) =>
    (histogram.getValueAtPercentile(percentile) / US_PER_MS).toFixed(2),
  );
  process.stdout.write(`${name}: p50 ${p50} ms, p99 ${p99} ms, max ${max} ms\n`);
};

const measureProposals = async (memberCount: number): Promise<void> => {
  const cluster = await ControlCluster.start({ seed: SEED, memberCount });
  const leader = await cluster.waitForLeader();
  const follower = cluster.memberIds().find((id) => id !== leader) ?? leader;
  const histograms = { leader: createHistogram(), follower: createHistogram() };
  for (let version = 1; version <= PROPOSALS; version += 1) {
    const change = createChange(version, 20, { serviceCount: SERVICES });
    const [histogram, memberId] =
      version % 2 === 0 ? [histograms.leader, leader] : [histograms.follower, follower];
    await recordDuration(histogram, () => cluster.log(memberId).propose(change, Date.now()));
  }
  printLatencies(`${memberCount} members, propose at the leader`, histograms.leader);
  printLatencies(`${memberCount} members, propose at a follower`, histograms.follower);
  await cluster.close();
};

const measureAppends = async (): Promise<void> => {
  const folder = await mkdtemp(join(tmpdir(), 'foxtailvane-storage-'));
  const { storage } = unwrapResult(await DurableStorage.open(folder));
  const { configuration } = createChange(1, 20, { serviceCount: SERVICES });
  const payload = toBinary(ConfigurationSchema, configuration);
  const histogram = createHistogram();
  for (let index = 1; index <= APPENDS; index += 1) {
    await recordDuration(histogram, () => storage.append([{ index, term: 1, payload }]));
  }
  printLatencies(`synced append of ${payload.length} bytes`, histogram);
  await storage.close();
  await rm(folder, { recursive: true });
};

/** Collects garbage several times, because one collection may release buffers only for the next. */
const readRetainedBytes = async (): Promise<number> => {
  for (let round = 0; round < GC_ROUNDS; round += 1) {
    globalThis.gc?.();
    await nextTurn();
  }
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
};

const measureMemory = async (maxConfigurations: number): Promise<void> => {
  const before = await readRetainedBytes();
  const versions = new AcceptedVersions(maxConfigurations);
  for (let version = 1; version <= HELD_VERSIONS; version += 1) {
    const change = createChange(version, 20, { serviceCount: SERVICES });
    validateChange(change, Date.now(), MAX_BYTES).map((accepted) =>
      versions.apply(accepted, version),
    );
  }
  const perVersion = Math.round(((await readRetainedBytes()) - before) / versions.list().length);
  const label = maxConfigurations === 1 ? 'holder alone' : 'with its configuration';
  process.stdout.write(`memory per accepted version, ${label}: ${perVersion} bytes\n`);
};

await measureAppends();
await measureProposals(3);
await measureProposals(5);
await measureMemory(HELD_VERSIONS);
await measureMemory(1);
