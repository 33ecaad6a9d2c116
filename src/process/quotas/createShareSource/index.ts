/** Computes the shares of quotas on a control VM from what it knows of nodes and control VMs. */
import { create } from '@bufbuild/protobuf';

import { QuotaShareSchema } from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import { createLogger } from '../../log/index.js';
import ShareComputer from '../ShareComputer/index.js';

import type { QuotaShare } from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import type { MetricsRegistry } from '../../metrics/index.js';
import type { ReplicatedLog } from '../../replication/ReplicatedLog/index.js';
import type { TrafficReportTable } from '../../trafficReports/TrafficReportTable/index.js';
import type { WorkspaceStatus } from '../ShareComputer/index.js';
import type { NodeUsage, Quota, QuotaBounds } from '../types.js';

/** Sessions ask one after the other; they share one computation. */
const MIN_INTERVAL_MS = 200;
/** Silence after which a control VM counts as out of touch; covers three of its heartbeats. */
const SILENT_MS = 1_000;
/** A node that has not asked for so long has left. */
const ASKED_RETENTION_MS = 5_000;

const log = createLogger('quotas');

export interface ShareSourceOptions {
  memberId: string;
  bounds: QuotaBounds;
  /** Time for which a node that has no way to a control VM goes on to accept keys. */
  keyLifetimeMs: number;
  controlLog: Pick<ReplicatedLog, 'committed' | 'isConfirmed' | 'members'>;
  trafficReports: Pick<TrafficReportTable, 'list'>;
  metrics?: MetricsRegistry | undefined;
}

export interface ShareSource {
  /**
   * Returns the shares of a node that is attached to this control VM.
   *
   * @param nodeId - id of the node
   * @param nowMs - present time in milliseconds, by a clock that does not step
   * @returns undefined while this control VM lacks the counts to grant anything
   */
  computeShares: (nodeId: string, nowMs: number) => QuotaShare[] | undefined;
  /** Returns the use of each quota. */
  list: () => WorkspaceStatus[];
}

/**
 * Finds the control VMs that have not been heard from: an update of one renews all nodes attached to
 * it. Those without nodes do not matter.
 */
const findSilentMembers = (
  nodes: readonly NodeUsage[],
  memberId: string,
  nowMs: number,
): Set<string> => {
  const seenAtMs = new Map<string, number>();
  nodes.forEach((node) =>
    seenAtMs.set(node.memberId, Math.max(node.seenAtMs, seenAtMs.get(node.memberId) ?? 0)),
  );
  const silent = [...seenAtMs].filter(
    ([other, atMs]) => other !== memberId && nowMs - atMs > SILENT_MS,
  );
  return new Set(silent.map(([other]) => other));
};

/** Writes a line when a workspace comes near the end of its quota, and when it has room again. */
const createTightnessLog = () => {
  const tight = new Set<string>();
  return (statuses: readonly WorkspaceStatus[]): number => {
    statuses.forEach(
      ({ workspace, isTight, ratePerSecond, offeredPerSecond, admittedPerSecond }) => {
        if (tight.has(workspace) === isTight) return;
        if (isTight) tight.add(workspace);
        else tight.delete(workspace);
        const offered = Math.round(offeredPerSecond);
        const admitted = Math.round(admittedPerSecond);
        const facts = { workspace, ratePerSecond, offered, admitted };
        log.info(facts, isTight ? 'quota is nearly used up' : 'quota has room again');
      },
    );
    return statuses.filter(({ isTight }) => isTight).length;
  };
};

/**
 * Creates the source of the shares that a control VM sends to its nodes.
 *
 * @param options - bounds, configuration and reports
 * @returns the source; it computes when it is asked
 */
const createShareSource = (options: ShareSourceOptions): ShareSource => {
  const { memberId, bounds, keyLifetimeMs, controlLog, trafficReports, metrics } = options;
  const computer = new ShareComputer({ memberId, bounds, keyLifetimeMs });
  const logTightness = createTightnessLog();
  const askedAtMs = new Map<string, number>();
  let updatedAtMs = -Infinity;
  let tightCount = 0;
  metrics?.gauge('workspaces_near_quota', () => tightCount);
  const readQuotas = (): Quota[] => controlLog.committed()?.configuration.workspaces ?? [];
  /** Nodes that ask are attached here, whatever their last report says. */
  const listNodes = (): NodeUsage[] => {
    const reported = trafficReports.list();
    const known = new Set(reported.map(({ nodeId }) => nodeId));
    const unreported = [...askedAtMs].filter(([nodeId]) => !known.has(nodeId));
    return [
      ...reported.map((node) => (askedAtMs.has(node.nodeId) ? { ...node, memberId } : node)),
      ...unreported.map(([nodeId, seenAtMs]) => ({
        ...{ nodeId, memberId, seenAtMs },
        ...{ incarnation: 0n, usage: [] },
      })),
    ];
  };
  const update = (nowMs: number): void => {
    updatedAtMs = nowMs;
    askedAtMs.forEach((atMs, nodeId) => {
      if (nowMs - atMs > ASKED_RETENTION_MS) askedAtMs.delete(nodeId);
    });
    const nodes = listNodes();
    const active = nodes.filter(({ seenAtMs }) => nowMs - seenAtMs < keyLifetimeMs + SILENT_MS);
    computer.update(
      {
        nodes,
        quotas: readQuotas(),
        isConfirmed: controlLog.isConfirmed(nowMs),
        silentMemberIds: findSilentMembers(active, memberId, nowMs),
        // Nodes that have counted nothing yet are not in any report.
        minNodeCount: askedAtMs.size * Math.max(1, controlLog.members(nowMs).length),
      },
      nowMs,
    );
    tightCount = logTightness(computer.list());
  };
  return {
    computeShares: (nodeId, nowMs) => {
      askedAtMs.set(nodeId, nowMs);
      if (nowMs - updatedAtMs >= MIN_INTERVAL_MS) update(nowMs);
      return computer.computeShares(nodeId)?.map((share) => create(QuotaShareSchema, share));
    },
    list: () => computer.list(),
  };
};

export default createShareSource;
