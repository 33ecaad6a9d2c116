import { MemberRole } from '../../replication/ControlLog/index.js';

import type { NodeStatus } from '../../nodeStatus/types.js';
import type { ControlLog, VersionHolder } from '../../replication/ControlLog/index.js';
import type { ConvergenceStatus, StatusResponse, VersionCount } from '../types.js';

const countVersions = (nodes: NodeStatus[]): VersionCount[] =>
  [...new Set(nodes.map((node) => node.version))]
    .toSorted((left, right) => right - left)
    .map((version) => ({
      version,
      nodes: nodes.filter((node) => node.version === version).length,
    }));

/**
 * Measures the convergence of the nodes on the accepted version. Disconnected nodes do not hold it
 * up: they keep serving, but their current version is unknown.
 */
const measureConvergence = (accepted: VersionHolder, nodes: NodeStatus[]): ConvergenceStatus => {
  const { acceptedAtMs } = accepted;
  const inForce = nodes.filter((node) => node.version === accepted.version);
  const connected = nodes.filter((node) => node.isConnected);
  const isComplete =
    inForce.length > 0 && connected.every((node) => node.version === accepted.version);
  if (inForce.length === 0) return { acceptedAtMs, isComplete };
  const lastInForceAtMs = Math.max(...inForce.map((node) => node.inForceAtMs));
  const convergenceMs = Math.max(0, lastInForceAtMs - acceptedAtMs);
  return { acceptedAtMs, lastInForceAtMs, isComplete, ...(isComplete ? { convergenceMs } : {}) };
};

/**
 * Builds the response to `GET /v1/status`.
 *
 * @param log - replicated log of this control VM
 * @param nodes - all nodes known to any control VM
 * @param nowMs - current time in milliseconds since the epoch
 * @param reachable - names of the control VMs that this one can reach; if omitted, the reachability
 *   recorded by the replicated log is used
 */
const buildStatus = (
  log: ControlLog,
  nodes: NodeStatus[],
  nowMs: number,
  reachable?: string[],
): StatusResponse => {
  const accepted = log.committed()?.holder;
  const members = log.members(nowMs).map((member) => ({
    ...member,
    isReachable: reachable?.includes(member.memberId) ?? member.isReachable,
  }));
  const leader = members.find((member) => member.role === MemberRole.Leader)?.memberId;
  return {
    nowMs,
    ...(accepted ? { accepted } : {}),
    isConfirmed: log.isConfirmed(nowMs),
    ...(leader === undefined ? {} : { leader }),
    members,
    nodes: {
      total: nodes.length,
      connected: nodes.filter((node) => node.isConnected).length,
      atAccepted: nodes.filter((node) => accepted && node.version === accepted.version).length,
      versions: countVersions(nodes),
      disconnected: nodes.filter((node) => !node.isConnected).map((node) => node.nodeId),
      refusals: nodes.filter((node) => node.refusedVersion !== undefined),
      list: nodes,
    },
    ...(accepted ? { convergence: measureConvergence(accepted, nodes) } : {}),
    unreachableMembers: members
      .filter((member) => !member.isReachable)
      .map((member) => member.memberId),
  };
};

export default buildStatus;
