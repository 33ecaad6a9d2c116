import type { NodeMember, TestCluster } from '../../stand-ins/cluster/index.js';

const MS_PER_SECOND = 1_000;

/** Resource usage of one node: control plane traffic, processor time and memory. */
export interface NodeUsage {
  receivedBytesPerSecond: number;
  sentBytesPerSecond: number;
  cpuPercentOfCore: number;
  residentBytes: number;
}

interface UsageSample {
  atMs: number;
  receivedBytes: number;
  sentBytes: number;
  cpuMs: number;
  residentBytes: number;
}

const sampleNode = (cluster: TestCluster, node: NodeMember): UsageSample => {
  const proxies = [...cluster.controls.map((control) => control.proxy)].filter(
    (proxy) => proxy !== undefined,
  );
  const bytes = proxies.map((proxy) => proxy.readClientBytes(node.name));
  return {
    atMs: performance.now(),
    receivedBytes: bytes.reduce((sum, one) => sum + one.toClient, 0),
    sentBytes: bytes.reduce((sum, one) => sum + one.toTarget, 0),
    ...node.process.readUsage(),
  };
};

/**
 * Measures every node while an action runs. Bytes are TCP payload on the connections to the control
 * VMs, counted by the proxies in front of them.
 *
 * @param cluster - a cluster with proxies
 * @param action - runs while the nodes are measured
 * @returns usage of each node, in the order of the nodes
 */
const measureUsage = async (
  cluster: TestCluster,
  action: () => Promise<void>,
): Promise<NodeUsage[]> => {
  const before = cluster.nodes.map((node) => sampleNode(cluster, node));
  await action();
  return cluster.nodes.map((node, index) => {
    const first = before[index]!;
    const last = sampleNode(cluster, node);
    const elapsedMs = last.atMs - first.atMs;
    const perSecond = (bytes: number) => (bytes * MS_PER_SECOND) / elapsedMs;
    return {
      receivedBytesPerSecond: perSecond(last.receivedBytes - first.receivedBytes),
      sentBytesPerSecond: perSecond(last.sentBytes - first.sentBytes),
      cpuPercentOfCore: ((last.cpuMs - first.cpuMs) / elapsedMs) * 100,
      residentBytes: last.residentBytes,
    };
  });
};

export default measureUsage;
