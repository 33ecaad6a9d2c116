import { request } from 'undici';

import type { Test } from 'tap';
import type { TestCluster } from '../../stand-ins/cluster/index.js';

const POLL_MS = 50;

/** Report of a node that has an older version than an earlier report of the same node. */
export interface Reversal {
  /** Origin of the report: the node itself or a control VM. */
  source: string;
  nodeId: string;
  from: number;
  to: number;
}

export interface VersionWatch {
  /** Number of reports so far; a watch without any report fails the test. */
  reportCount: number;
  /** Reversals detected so far. */
  reversals: Reversal[];
  /** Versions that any node reported. */
  reportedVersions: Set<number>;
  stop: () => Promise<void>;
}

const readOwnVersion = async (localUrl: string): Promise<number> => {
  const response = await request(`${localUrl}/healthz`, { signal: AbortSignal.timeout(1_000) });
  return ((await response.body.json()) as { version: number }).version;
};

/**
 * Polls the version in force of every node, at the node itself and at every control VM.
 *
 * Version 0 means that a node has restarted and has no configuration yet. Reports after a restart
 * are also compared with earlier ones, because a node must never revert to an older version.
 */
export const watchVersions = (cluster: TestCluster): VersionWatch => {
  const newest = new Map<string, number>();
  const watch: VersionWatch = {
    reportCount: 0,
    reversals: [],
    reportedVersions: new Set(),
    stop: async () => undefined,
  };
  const ending = { isOver: false };
  const recordVersion = (source: string, nodeId: string, version: number): void => {
    if (version === 0) return;
    const key = `${source} ${nodeId}`;
    const from = newest.get(key) ?? 0;
    if (version < from) watch.reversals.push({ source, nodeId, from, to: version });
    newest.set(key, version);
    watch.reportCount += 1;
    watch.reportedVersions.add(version);
  };
  const poll = async (): Promise<void> => {
    while (!ending.isOver) {
      await Promise.allSettled([
        ...cluster.runningNodes.map(async (node) =>
          recordVersion(node.name, node.name, await readOwnVersion(node.localUrl)),
        ),
        ...cluster.runningControls.map(async (control) => {
          const status = await control.operator.readStatus();
          status.nodes.list
            .filter((node) => node.isConnected)
            .forEach((node) => recordVersion(control.name, node.nodeId, node.version));
        }),
      ]);
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_MS);
      });
    }
  };
  const polling = poll();
  watch.stop = async () => {
    ending.isOver = true;
    await polling;
  };
  return watch;
};

/**
 * Asserts invariant 1 for all reports of a watch.
 *
 * @param t - the test
 * @param watch - stopped by this call
 */
export const assertMonotonicVersions = async (t: Test, watch: VersionWatch): Promise<void> => {
  await watch.stop();
  t.ok(watch.reportCount > 0, `${watch.reportCount} reports`);
  t.strictSame(watch.reversals, [], 'no node reverted to an older version');
};
