/** Load on a cluster of real processes that serves the desk sheet; also used by the soak. */
import { RecordingClient, RequestOutcome } from '../../stand-ins/recordingClient/index.js';
import waitFor from '../../stand-ins/waitFor/index.js';
import { createOrderDeskSheet } from '../../stand-ins/createSheet/index.js';

import type { BackendOptions, NodeMember, TestCluster } from '../../stand-ins/cluster/index.js';
import type { RequestSpec, SentRequest } from '../../stand-ins/recordingClient/index.js';

let clientCount = 0;

/** Describes the n-th request of the default mix, which alternates lookups and bundle orders. */
export const describeDeskRequest = (index: number): RequestSpec =>
  index % 2 === 0
    ? { method: 'GET', path: `/stock/${index}`, isIdempotent: true }
    : { method: 'POST', path: '/orders', body: `bundle ${index}`, isIdempotent: false };

export interface SendDuringOptions {
  ratePerSecond?: number;
  entries?: NodeMember[];
  describeRequest?: (index: number) => RequestSpec;
  timeoutMs?: number;
}

const SLICE_MS = 100;

/**
 * Sends an open-loop load until an action completes.
 *
 * @param cluster - its nodes receive the load by default
 * @param action - runs under load
 * @param options - request rate, entry nodes and request mix
 * @returns every request that was sent, with its outcome
 */
export const sendDuring = async (
  cluster: TestCluster,
  action: () => Promise<void>,
  options: SendDuringOptions = {},
): Promise<SentRequest[]> => {
  clientCount += 1;
  const { timeoutMs = 8_000, ratePerSecond = 200 } = options;
  const client = new RecordingClient({ name: `c${process.pid}-${clientCount}`, timeoutMs });
  const describeRequest = options.describeRequest ?? describeDeskRequest;
  const entries = (options.entries ?? cluster.nodes).map((node) => node.url);
  const ending = { isOver: false };
  const slices: Promise<SentRequest[]>[] = [];
  const load = async (): Promise<void> => {
    const perSlice = (ratePerSecond * SLICE_MS) / 1_000;
    while (!ending.isOver) {
      const offset = slices.length * perSlice;
      slices.push(
        client.runOpenLoop({
          ratePerSecond,
          durationMs: SLICE_MS,
          entries,
          describeRequest: (index) => describeRequest(offset + index),
        }),
      );
      await new Promise((resolve) => {
        setTimeout(resolve, SLICE_MS);
      });
    }
  };
  const loading = load();
  try {
    await action();
  } finally {
    ending.isOver = true;
    await loading;
    await Promise.all(slices);
    await client.close();
  }
  return client.sent;
};

/** Waits until each node answers a GET request for each of the paths. */
export const waitUntilAnswered = async (
  nodes: NodeMember[],
  options: { timeoutMs?: number; paths?: string[] } = {},
): Promise<void> => {
  clientCount += 1;
  const client = new RecordingClient({ name: `w${process.pid}-${clientCount}`, timeoutMs: 2_000 });
  const paths = options.paths ?? ['/stock'];
  const isAnswered = async (node: NodeMember): Promise<boolean> => {
    const sent = await Promise.all(
      paths.map((path) => client.send(node.url, { method: 'GET', path, isIdempotent: true })),
    );
    return sent.every((one) => one.outcome === RequestOutcome.Answered);
  };
  try {
    await Promise.all(
      nodes.map((node) => waitFor(`answer at ${node.name}`, () => isAnswered(node), options)),
    );
  } finally {
    await client.close();
  }
};

/**
 * Applies version 1 of the desk sheet and starts a server of the order desk and one of the harvest
 * ledger beside every node.
 *
 * @param cluster - a started cluster
 * @param options - options of each server
 */
export const startDeskServers = async (
  cluster: TestCluster,
  options: Pick<BackendOptions, 'flags' | 'isProxied'> = {},
): Promise<void> => {
  await cluster.applyUntilAccepted(1, createOrderDeskSheet());
  await Promise.all(
    cluster.nodes.flatMap((node) =>
      ['order-desk', 'harvest-ledger'].map((service) =>
        cluster.startBackend(node, { serverId: `${service}-${node.name}`, service, ...options }),
      ),
    ),
  );
  await cluster.waitForVersion(1);
  await waitUntilAnswered(cluster.nodes, { paths: ['/stock', '/ledger'] });
  await Promise.all(
    ['order-desk', 'harvest-ledger'].map((service) =>
      cluster.waitForServers(service, cluster.nodes.length),
    ),
  );
};
