/** One seeded run of real processes under overlapping faults, with the promises checked meanwhile. */
import { setTimeout as sleep } from 'node:timers/promises';

import { createOrderDeskSheet } from '../../stand-ins/createSheet/index.js';
import { createSeededRandom } from '../../stand-ins/createSeededRandom/index.js';
import { TestCluster } from '../../stand-ins/cluster/index.js';
import { countOutcomes, verifyOutcomes } from '../../stand-ins/verifyOutcomes/index.js';
import { sendDuring, startDesk, waitUntilAnswered } from '../../test/_lib/proof.js';
import { watchVersions } from '../../test/_lib/watchVersions.js';
import FaultInjector from '../_lib/FaultInjector.js';
import { drawFaults } from '../drawFaults/index.js';

import type { PlannedFault } from '../drawFaults/index.js';

/** Pause of the operator between two changes. */
const CHANGE_INTERVAL_MS = 400;
/** Time in which the cluster serves at every node again, once all faults have ended. */
const RECOVERY_MS = 60_000;
const SERVER_FLAGS = ['--slots', '20', '--service-ms', '10'];
const SUCCESSES = ['ACCEPTED', 'ALREADY_ACCEPTED'];

export interface SoakOptions {
  seed: number;
  durationMs: number;
  nodesPerDataCentre: number;
  ratePerSecond: number;
  /** Receives the seed, the folder of the run and the faults as they begin. */
  print?: (line: string) => void;
}

export interface SoakReport {
  seed: number;
  faults: number;
  outcomes: Partial<Record<string, number>>;
  /** Versions that were acknowledged. */
  acknowledged: number;
  /** Broken promises; empty when all were kept. */
  violations: string[];
}

/** Sends changes one after another; returns the versions that were acknowledged. */
const changeUntil = async (cluster: TestCluster, isOver: () => boolean): Promise<number[]> => {
  const acknowledged: number[] = [];
  for (let version = 2; !isOver(); version += 1) {
    const sheet = createOrderDeskSheet();
    const control = cluster.controls[version % cluster.controls.length];
    try {
      const answer = await control?.operator.apply(version, sheet, {
        requestId: `version-${version}`,
      });
      if (answer && SUCCESSES.includes(answer.outcome)) acknowledged.push(version);
    } catch {
      // A control VM that is down or silent gives no answer; the next change goes to another one.
    }
    await sleep(CHANGE_INTERVAL_MS);
  }
  return acknowledged;
};

const playFaults = async (
  cluster: TestCluster,
  faults: PlannedFault[],
  print: (line: string) => void,
): Promise<void> => {
  const injector = new FaultInjector(cluster);
  const startedAtMs = performance.now();
  const until = (atMs: number): Promise<void> =>
    sleep(Math.max(0, startedAtMs + atMs - performance.now()));
  await Promise.all(
    faults.map(async (fault) => {
      await until(fault.startMs);
      print(`${fault.startMs} to ${fault.endMs} ms: ${fault.kind} ${fault.target} ${fault.index}`);
      await injector.begin(fault);
      await until(fault.endMs);
      await injector.end(fault);
    }),
  );
};

const describeError = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

/**
 * Runs the programs under faults drawn from a seed, with callers and an operator, and checks that no
 * order runs twice, refusals are true, answers are whole, no node goes back to an older version,
 * nothing acknowledged is lost, and everything serves again afterwards.
 *
 * @param options - seed, length and size
 * @returns what was seen; the processes have ended
 */
const runSoak = async (options: SoakOptions): Promise<SoakReport> => {
  const { seed, durationMs, print = () => undefined } = options;
  const { nodesPerDataCentre, ratePerSecond } = options;
  const cluster = new TestCluster({ seed, nodesPerDataCentre, isProxied: true, print });
  const violations: string[] = [];
  try {
    await cluster.start();
    await startDesk(cluster, { flags: SERVER_FLAGS, isProxied: true });
    const { controls, nodes, backends } = cluster;
    const counts = { control: controls.length, node: nodes.length, server: backends.length };
    const faults = drawFaults(createSeededRandom(seed), { durationMs, counts });
    const watch = watchVersions(cluster);
    const ending = { isOver: false };
    let acknowledged: number[] = [];
    const sent = await sendDuring(
      cluster,
      async () => {
        const changes = changeUntil(cluster, () => ending.isOver);
        await playFaults(cluster, faults, print);
        ending.isOver = true;
        acknowledged = await changes;
        await waitUntilAnswered(nodes, { timeoutMs: RECOVERY_MS }).catch((error: unknown) => {
          violations.push(`not every node serves again: ${describeError(error)}`);
        });
      },
      { ratePerSecond },
    );
    const newest = Math.max(1, ...acknowledged);
    const leader = await cluster.waitForLeader(RECOVERY_MS);
    const { accepted } = await leader.operator.readStatus();
    const held = accepted?.version ?? 0;
    if (held < newest) violations.push(`version ${newest} was acknowledged, ${held} is held`);
    await watch.stop();
    violations.push(
      ...verifyOutcomes(sent, cluster.readExecutions()).map((one) => JSON.stringify(one)),
      ...watch.reversals.map((one) => `went back: ${JSON.stringify(one)}`),
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
