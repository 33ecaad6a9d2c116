/** Opens the components of a node daemon, except the local API. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import { NodeLink } from '../../../connection/distribution/NodeLink/index.js';
import type {
  ControlTarget,
  LinkTiming,
  NodeLinkParts,
} from '../../../connection/distribution/NodeLink/index.js';
import {
  CONFIRMATION_LAG_MS,
  UNLISTED_RECORD_MS,
} from '../../../connection/distribution/timing.js';
import { startRpcServer } from '../../../connection/startRpcServer/index.js';
import WorkspaceLimiter from '../../../request/limitWorkspaces/index.js';
import { RequestServer } from '../../../request/index.js';
import type { RequestServerOptions } from '../../../request/index.js';
import { DaemonError, DaemonErrorCode } from '../../daemon/DaemonError/index.js';
import { EndpointDirectory } from '../../endpoints/EndpointDirectory/index.js';
import { ConfigurationHolder } from '../../holder/ConfigurationHolder/index.js';
import {
  FairSharePolicy,
  LocalServers,
  QuickFirstPolicy,
  WorkspaceShares,
} from '../../localServers/index.js';
import type { LocalServersOptions } from '../../localServers/index.js';
import { MetricsRegistry } from '../../metrics/index.js';
import registerProcessMetrics from '../../metrics/registerProcessMetrics.js';
import type { QuotaBounds } from '../../quotas/types.js';
import type { TlsStore } from '../../tls/TlsStore/index.js';
import createKeyProof from '../_lib/createKeyProof.js';

/** Addresses of a node, each `IP:port`. */
export interface NodeListeners {
  /** For callers. */
  listen: string;
  /** For requests forwarded by other nodes. */
  forwardListen: string;
  /** For the connect-es protocol between nodes. */
  peerListen: string;
}

export interface OpenNodeOptions extends NodeListeners {
  nodeId: string;
  dataCentre: string;
  /** Where other nodes reach `forwardListen`. */
  forwardAddress: string;
  /** Where other nodes reach `peerListen`. */
  peerAddress: string;
  controls: ControlTarget[];
  peerSeeds?: string[];
  /** Start time of the process in milliseconds since the epoch. */
  startedAtMs: number;
  tls?: TlsStore | undefined;
  /** Clock for leases and deadlines, in whole milliseconds; `Date.now` by default. */
  readNowMs?: () => number;
  /**
   * Time after which a withdrawn key is refused even if no control VM can be reached, in milliseconds;
   * without it, a node that is cut off accepts the keys of the version that it holds.
   */
  withdrawalBoundMs?: number | undefined;
  /** Timing of the link to the control VMs. */
  linkTiming?: Partial<LinkTiming>;
  /** What the node reports to its control VM and receives from it besides the configuration. */
  distribution?: Pick<NodeLinkParts, 'trafficSource' | 'rolloutHolder' | 'quotaHolder'>;
  /** Bounds of the quotas of workspaces over all nodes; without them, quotas do not count. */
  quotaBounds?: QuotaBounds | undefined;
  /** Limits and admission of the backend servers beside this node. */
  servers?: Pick<
    LocalServersOptions,
    'createLimiter' | 'leaseMs' | 'queuePerSlot' | 'admissionPolicy'
  >;
  /** Options of request handling. */
  requests?: Pick<
    RequestServerOptions,
    | 'idempotencyRetentionMs'
    | 'probeIntervalMs'
    | 'dialect'
    | 'callerService'
    | 'createSelector'
    | 'createBudget'
    | 'drainGraceMs'
    | 'drainAnnounceDelayMs'
  >;
}

/** The components of an open node. */
export interface OpenedNode extends NodeListeners {
  metrics: MetricsRegistry;
  holder: ConfigurationHolder;
  directory: EndpointDirectory;
  localServers: LocalServers;
  link: NodeLink;
  server: RequestServer;
  /** Returns whether requests with a key can be admitted; true if none needs one. */
  canAdmitKeys: () => boolean;
  /** Stops all components; requests in flight fail. */
  close: () => Promise<void>;
}

const createListenError = (error: unknown): DaemonError => {
  const reason = error instanceof Error ? error.message : String(error);
  return new DaemonError(DaemonErrorCode.ListenFailed, `cannot listen: ${reason}`, error);
};

/** Adds the use of quotas to what the node reports, and takes its shares in. */
const createQuotaParts = (
  limiter: WorkspaceLimiter | undefined,
  { distribution }: OpenNodeOptions,
): Pick<NodeLinkParts, 'trafficSource' | 'quotaHolder'> => {
  if (!limiter) return {};
  const collect = (nowMs: number) => ({
    evidence: distribution?.trafficSource?.collect(nowMs).evidence ?? [],
    usage: limiter.collectUsage(),
  });
  return { trafficSource: { collect }, quotaHolder: limiter };
};

/** Divides slots among workspaces where quotas count, in proportion to their quotas. */
const createFairPolicy = (
  { servers, quotaBounds }: OpenNodeOptions,
  holder: ConfigurationHolder,
): Pick<LocalServersOptions, 'admissionPolicy'> => {
  if (!quotaBounds) return {};
  const inner = servers?.admissionPolicy ?? new QuickFirstPolicy(servers?.queuePerSlot);
  const getWeight = (name: string): number =>
    holder.current()?.configuration.workspaces.find((workspace) => workspace.name === name)
      ?.ratePerSecond ?? 0;
  const shares = new WorkspaceShares(getWeight);
  return { admissionPolicy: new FairSharePolicy(inner, shares) };
};

type NodeComponents = Omit<OpenedNode, keyof NodeListeners | 'close'>;

const createComponents = (options: OpenNodeOptions): NodeComponents => {
  const { nodeId, dataCentre, tls, withdrawalBoundMs, readNowMs = Date.now } = options;
  const metrics = new MetricsRegistry();
  registerProcessMetrics(metrics);
  const holder = new ConfigurationHolder();
  const directory = new EndpointDirectory({ ownNodeId: nodeId, leaseMs: UNLISTED_RECORD_MS });
  const localServers = new LocalServers({
    nodeId,
    dataCentre,
    incarnation: BigInt(options.startedAtMs),
    findService: (name) => holder.current()?.findService(name),
    ...options.servers,
    ...createFairPolicy(options, holder),
  });
  const { controls, peerSeeds = [], linkTiming: timing = {} } = options;
  const { quotaBounds } = options;
  const workspaceLimiter =
    quotaBounds &&
    new WorkspaceLimiter({
      bounds: quotaBounds,
      countNodes: () => directory.records().length,
      random: Math.random,
    });
  const link = new NodeLink(
    {
      ...{ nodeId, dataCentre, controls, holder, directory, peerSeeds },
      recordSource: localServers,
      ...options.distribution,
      ...createQuotaParts(workspaceLimiter, options),
    },
    {
      ...{ metrics, now: readNowMs, timing, tls: () => tls?.current() },
      needsProof: withdrawalBoundMs !== undefined,
    },
  );
  const readAgeMs = (): number => link.getConfirmationAgeMs(readNowMs());
  const areKeysProven = createKeyProof({
    maxAgeMs: withdrawalBoundMs && withdrawalBoundMs - CONFIRMATION_LAG_MS,
    readAgeMs,
  });
  const server = new RequestServer({
    nodeId,
    dataCentre,
    current: () => (link.isReadyToServe(readNowMs()).isOk() ? holder.current() : undefined),
    isCurrent: () => link.isCurrent(readNowMs()),
    areKeysProven,
    directory: {
      serversOf: (service) => directory.serversOf(service),
      records: () => directory.records(),
    },
    localServers,
    metrics,
    workspaceLimiter,
    listen: options.listen,
    forwardListen: options.forwardListen,
    startedAtMs: options.startedAtMs,
    getNowMs: readNowMs,
    ...options.requests,
    ...(tls && { tls: () => tls.current() }),
  });
  metrics.gauge('configuration_version', () => holder.current()?.version ?? 0);
  if (withdrawalBoundMs !== undefined) metrics.gauge('confirmation_age_ms', readAgeMs);
  metrics.gauge('requests_in_flight', () => server.inFlight);
  metrics.gauge('endpoint_records', () => directory.records().length);
  holder.onInstalled(({ configuration }) => server.applyLimits(configuration.limits));
  const canAdmitKeys = (): boolean => !holder.current()?.hasWorkspaces || areKeysProven();
  return { metrics, holder, directory, localServers, link, server, canAdmitKeys };
};

/**
 * Opens the components of a node and binds its listeners for callers and other nodes. The link to
 * the control VMs starts with `link.start()`.
 *
 * @param options - addresses, clock and options of request handling
 * @returns the components; ListenFailed when an address can't be bound
 *
 * @example
 * const node = await openNode(options);
 * node.map(({ link }) => link.start());
 */
export const openNode = async (
  options: OpenNodeOptions,
): Promise<Result<OpenedNode, DaemonError>> => {
  const components = createComponents(options);
  const { link, server, localServers } = components;
  try {
    const { listen, forwardListen } = await server.start();
    const peer = await startRpcServer(options.peerListen, {
      tls: options.tls,
      routes: (router) => {
        link.registerRoutes(router);
        server.registerPeerServices(router);
      },
    });
    const { forwardAddress, peerAddress } = options;
    localServers.setAddresses({ forwardAddress, peerAddress });
    const close = async (): Promise<void> => {
      await link.stop();
      await peer.close();
      await server.stop();
    };
    return ok({ ...components, listen, forwardListen, peerListen: peer.address, close });
  } catch (error) {
    await server.stop();
    return err(createListenError(error));
  }
};
