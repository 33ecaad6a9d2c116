/** One seeded run of real processes under overlapping faults that checks the guarantees. */
import { setTimeout as sleep } from 'node:timers/promises';

import { createOrderDeskSheet } from '../../stand-ins/createSheet/index.js';
import { createSeededRandom } from '../../stand-ins/createSeededRandom/index.js';
import { TestCluster } from '../../stand-ins/cluster/index.js';
import { countOutcomes, verifyOutcomes } from '../../stand-ins/verifyOutcomes/index.js';
import { sendDuring, startDeskServers, waitUntilAnswered } from '../../test/_lib/deskLoad.js';
import { watchVersions } from '../../test/_lib/watchVersions.js';
import FaultInjector from '../_lib/FaultInjector.js';
import { drawFaults } from '../drawFaults/index.js';

import type { PlannedFault } from '../drawFaults/index.js';

/** Interval between two configuration changes. */
const CHANGE_INTERVAL_MS = 400;
/** Time limit for every node to serve requests again after all faults have ended. */
const RECOVERY_TIMEOUT_MS = 60_000;
const SERVER_FLAGS = ['--slots', '20', '--service-ms', '10'];
const ACCEPTED_OUTCOMES = ['ACCEPTED', 'ALREADY_ACCEPTED'];

export interface SoakOptions {
  seed: number;
  durationMs: number;
  nodesPerDataCentre: number;
  ratePerSecond: number;
  /** Receives the seed, the folder of the run and each fault when it is injected. */
  print?: (line: string) => void;
}

export interface SoakReport {
  seed: number;
  faults: number;
  outcomes: Partial<Record<string, number>>;
  /** Number of acknowledged versions. */
  acknowledged: number;
  /** Violated guarantees; empty if the run passed. */
  violations: string[];
}

/** Applies changes one after another; returns the acknowledged versions. */
const applyChangesUntil = async (
  cluster: TestCluster,
  isOver: () => boolean,
): Promise<number[]> => {
  const acknowledged: number[] = [];
  for (let version = 2; !isOver(); version += 1) {
    const sheet = createOrderDeskSheet();
    const control = cluster.controls[version % cluster.controls.length];
    try {
      const answer = await control?.operator.apply(version, sheet, {
        requestId: `version-${version}`,
      });
      if (answer && ACCEPTED_OUTCOMES.includes(answer.outcome)) acknowledged.push(version);
    } catch {
      // A control VM that is down or unreachable does not answer; the next change uses another one.
    }
    await sleep(CHANGE_INTERVAL_MS);
  }
  return acknowledged;
};

const injectFaults = async (
  cluster: TestCluster,
  faults: PlannedFault[],
  print: (line: string) => void,
): Promise<void> => {
  const injector = new FaultInjector(cluster);
  const startedAtMs = performance.now();
  const sleepUntil = (atMs: number): Promise<void> =>
    sleep(Math.max(0, startedAtMs + atMs - performance.now()));
  await Promise.all(
    faults.map(async (fault) => {
      await sleepUntil(fault.startMs);
      print(`${fault.startMs} to ${fault.endMs} ms: ${fault.kind} ${fault.target} ${fault.index}`);
      await injector.begin(fault);
      await sleepUntil(fault.endMs);
      await injector.end(fault);
    }),
  );
};

const describeError = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

/**
 * Runs a cluster under seeded random faults while callers send requests and an operator applies
 * changes.
 *
 * Checks that no order is executed twice, that a request reported as not run did not run, that
 * responses are complete, that no node reverts to an older version, that no acknowledged version is
 * lost, and that all nodes serve requests again after the faults.
 *
 * @param options - seed, duration, cluster size and request rate
 * @returns outcomes and violations; all processes have ended by then
 */
const runSoak = async (options: SoakOptions): Promise<SoakReport> => {
  const { seed, durationMs, print = () => undefined } = options;
  const { nodesPerDataCentre, ratePerSecond } = options;
  const cluster = new TestCluster({ seed, nodesPerDataCentre, isProxied: true, print });
  const violations: string[] = [];
  try {
    await cluster.start();
    await startDeskServers(cluster, { flags: SERVER_FLAGS, isProxied: true });
    const { controls, nodes, backends } = cluster;
    const counts = { control: controls.length, node: nodes.length, server: backends.length };
    const faults = drawFaults(createSeededRandom(seed), { durationMs, counts });
    const watch = watchVersions(cluster);
    const ending = { isOver: false };
    let acknowledged: number[] = [];
    const sent = await sendDuring(
      cluster,
      async () => {
        const changes = applyChangesUntil(cluster, () => ending.isOver);
        await injectFaults(cluster, faults, print);
        ending.isOver = true;
        acknowledged = await changes;
        await waitUntilAnswered(nodes, { timeoutMs: RECOVERY_TIMEOUT_MS }).catch(
          (error: unknown) => {
            violations.push(
              `a node does not serve requests after the faults: ${describeError(error)}`,
            );
          },
        );
      },
      { ratePerSecond },
    );
    const newest = Math.max(1, ...acknowledged);
    const leader = await cluster.waitForLeader(RECOVERY_TIMEOUT_MS);
    const { accepted } = await leader.operator.readStatus();
    const held = accepted?.version ?? 0;
    if (held < newest)
      violations.push(`version ${newest} was acknowledged, the leader has ${held}`);
    await watch.stop();
    violations.push(
      ...verifyOutcomes(sent, cluster.readExecutions()).map((one) => JSON.stringify(one)),
      ...watch.reversals.map((one) => `reverted to an older version: ${JSON.stringify(one)}`),
    );
    return {
      seed,
      faults: faults.length,
      outcomes: countOutcomes(sent),
      acknowledged: acknowledged.length,
      violations,
    };
  } finally {
    await cluster.stop();
  }
};

export default runSoak;
