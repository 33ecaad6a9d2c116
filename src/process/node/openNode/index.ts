/** Opens the components of a node daemon, except the local API. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import { NodeLink } from '../../../connection/distribution/NodeLink/index.js';
import type { ControlTarget, LinkTiming } from '../../../connection/distribution/NodeLink/index.js';
import { UNLISTED_RECORD_MS } from '../../../connection/distribution/timing.js';
import { startRpcServer } from '../../../connection/startRpcServer/index.js';
import { Placement, RequestServer } from '../../../request/index.js';
import type { RequestServerOptions } from '../../../request/index.js';
import { DaemonError, DaemonErrorCode } from '../../daemon/DaemonError/index.js';
import { EndpointDirectory } from '../../endpoints/EndpointDirectory/index.js';
import { ConfigurationHolder } from '../../holder/ConfigurationHolder/index.js';
import { ExpectedCostPolicy, LocalServers, RouteCosts } from '../../localServers/index.js';
import type { LocalServersOptions } from '../../localServers/index.js';
import { MetricsRegistry } from '../../metrics/index.js';
import registerProcessMetrics from '../../metrics/registerProcessMetrics.js';
import type { TlsStore } from '../../tls/TlsStore/index.js';

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
  /** Timing of the link to the control VMs. */
  linkTiming?: Partial<LinkTiming>;
  /** Limits and admission of the backend servers beside this node. */
  servers?: Pick<
    LocalServersOptions,
    'createLimiter' | 'leaseMs' | 'queuePerSlot' | 'admissionPolicy'
  >;
  /** `LeastDelay` leaves the choice to the options of request handling; the default. */
  placement?: Placement;
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
  /** Stops all components; requests in flight fail. */
  close: () => Promise<void>;
}

const createListenError = (error: unknown): DaemonError => {
  const reason = error instanceof Error ? error.message : String(error);
  return new DaemonError(DaemonErrorCode.ListenFailed, `cannot listen: ${reason}`, error);
};

type NodeComponents = Omit<OpenedNode, keyof NodeListeners | 'close'>;

const createComponents = (options: OpenNodeOptions): NodeComponents => {
  const { nodeId, dataCentre, tls, readNowMs = Date.now } = options;
  const metrics = new MetricsRegistry();
  registerProcessMetrics(metrics);
  const holder = new ConfigurationHolder();
  const directory = new EndpointDirectory({ ownNodeId: nodeId, leaseMs: UNLISTED_RECORD_MS });
  const isByCost = options.placement === Placement.ExpectedCost;
  const routeCosts = isByCost ? new RouteCosts() : undefined;
  const localServers = new LocalServers({
    nodeId,
    dataCentre,
    incarnation: BigInt(options.startedAtMs),
    findService: (name) => holder.current()?.findService(name),
    ...options.servers,
    ...(routeCosts && { routeCosts, admissionPolicy: new ExpectedCostPolicy() }),
  });
  const { controls, peerSeeds = [], linkTiming: timing = {} } = options;
  const link = new NodeLink(
    { nodeId, dataCentre, controls, holder, directory, recordSource: localServers, peerSeeds },
    { metrics, now: readNowMs, timing, tls: () => tls?.current() },
  );
  const server = new RequestServer({
    nodeId,
    dataCentre,
    current: () => (link.isReadyToServe(readNowMs()).isOk() ? holder.current() : undefined),
    isCurrent: () => link.isCurrent(readNowMs()),
    directory: {
      serversOf: (service) => directory.serversOf(service),
      records: () => directory.records(),
    },
    localServers,
    metrics,
    listen: options.listen,
    forwardListen: options.forwardListen,
    startedAtMs: options.startedAtMs,
    getNowMs: readNowMs,
    ...options.requests,
    routeCosts,
    ...(tls && { tls: () => tls.current() }),
  });
  metrics.gauge('configuration_version', () => holder.current()?.version ?? 0);
  metrics.gauge('requests_in_flight', () => server.inFlight);
  metrics.gauge('endpoint_records', () => directory.records().length);
  holder.onInstalled(({ configuration }) => server.applyLimits(configuration.limits));
  return { metrics, holder, directory, localServers, link, server };
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
