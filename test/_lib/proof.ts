/** Helpers for the end-to-end tests with real processes. */
import tap from 'tap';

import type { Test } from 'tap';
import { RequestOutcome } from '../../stand-ins/recordingClient/index.js';
import { TestCluster } from '../../stand-ins/cluster/index.js';
import { countOutcomes, verifyOutcomes } from '../../stand-ins/verifyOutcomes/index.js';

import type { TestClusterOptions } from '../../stand-ins/cluster/index.js';
import type { SentRequest } from '../../stand-ins/recordingClient/index.js';

export {
  describeDeskRequest,
  sendDuring,
  startDeskServers,
  waitUntilAnswered,
} from './deskLoad.js';
export type { SendDuringOptions } from './deskLoad.js';

const isFull = process.env.FULL === '1';
const FULL_TIMEOUT_MS = 3_600_000;
const CI_TIMEOUT_MS = 240_000;

tap.setTimeout(isFull ? FULL_TIMEOUT_MS : CI_TIMEOUT_MS);

/**
 * Chooses between the count for CI and the full count of a test (`FULL=1`).
 *
 * @param ci - count in CI; all of CI must take under 5 minutes
 * @param full - count in a full run
 */
export const chooseCount = (ci: number, full: number): number => (isFull ? full : ci);

const print = (line: string): boolean => process.stderr.write(`${line}\n`);

/**
 * Starts a cluster that is stopped when the test ends; prints its seed.
 *
 * @param t - the test
 * @param options - layout of the cluster
 */
export const startCluster = async (
  t: Test,
  options: TestClusterOptions = {},
): Promise<TestCluster> => {
  const cluster = new TestCluster({ print, ...options });
  t.teardown(() => cluster.stop());
  await cluster.start();
  return cluster;
};

/**
 * Asserts invariants 4 to 6 for a load.
 *
 * @param t - the test
 * @param cluster - its servers recorded every execution
 * @param sent - the requests and the outcomes that callers observed
 */
export const assertInvariants = (t: Test, cluster: TestCluster, sent: SentRequest[]): void => {
  const outcomes = countOutcomes(sent);
  t.comment(`outcomes ${JSON.stringify(outcomes)}`);
  const violations = verifyOutcomes(sent, cluster.readExecutions());
  t.strictSame(violations.slice(0, 5), [], `violations: ${violations.length}`);
  t.ok((outcomes[RequestOutcome.Answered] ?? 0) > 0, 'some requests were answered');
};

/** Prints the reasons that nodes logged for requests they did not serve. */
export const reportUnservedRequests = (t: Test, cluster: TestCluster): void => {
  const lines = cluster.nodes
    .flatMap((node) => node.process.readLog().split('\n'))
    .filter((line) => line.includes('request not served'))
    .map((line) => JSON.parse(line).context)
    .map(({ route, code, reason, tried, liveServers }) =>
      JSON.stringify({ route, code, reason, tried: tried.length, liveServers }),
    );
  const counts = new Map<string, number>();
  lines.forEach((line) => counts.set(line, (counts.get(line) ?? 0) + 1));
  counts.forEach((count, line) => t.comment(`not served ${count} times: ${line}`));
};
