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
import { RolloutPolicy } from '../../../request/chooseVersion/index.js';
import { EvidenceCollector } from '../../../request/collectEvidence/index.js';
import WorkspaceLimiter from '../../../request/limitWorkspaces/index.js';
import { Placement, RequestServer } from '../../../request/index.js';
import type { RequestServerOptions } from '../../../request/index.js';
import { DaemonError, DaemonErrorCode } from '../../daemon/DaemonError/index.js';
import { EndpointDirectory } from '../../endpoints/EndpointDirectory/index.js';
import { RolloutHolder } from '../../holder/RolloutHolder/index.js';
import { ConfigurationHolder } from '../../holder/ConfigurationHolder/index.js';
import {
  ExpectedCostPolicy,
  FairSharePolicy,
  LocalServers,
  QuickFirstPolicy,
  RouteCosts,
  WorkspaceShares,
} from '../../localServers/index.js';
import type { AdmissionPolicy, LocalServersOptions } from '../../localServers/index.js';
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
  /** Whether servers are chosen by software version; off by default. */
  hasRollouts?: boolean;
  /** Bounds of the quotas of workspaces over all nodes; without them, quotas do not count. */
  quotaBounds?: QuotaBounds | undefined;
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
    | 'memoryMb'
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
  /** Choice of software versions; undefined without roll-outs. */
  versions?: RolloutPolicy | undefined;
  /** Stops all components; requests in flight fail. */
  close: () => Promise<void>;
}

/** Age of a confirmation up to which a node uses its share of a roll-out; a renewal takes a second. */
const MAX_SHARE_AGE_MS = 2_500;

const createListenError = (error: unknown): DaemonError => {
  const reason = error instanceof Error ? error.message : String(error);
  return new DaemonError(DaemonErrorCode.ListenFailed, `cannot listen: ${reason}`, error);
};

/** Creates the order in which requests wait: by cost if so set, shared by workspaces with quotas. */
const createAdmissionPolicy = (
  { servers, quotaBounds }: OpenNodeOptions,
  parts: { isByCost: boolean; holder: ConfigurationHolder },
): AdmissionPolicy | undefined => {
  const policy = parts.isByCost ? new ExpectedCostPolicy() : servers?.admissionPolicy;
  if (!quotaBounds) return policy;
  const getWeight = (name: string): number =>
    parts.holder.current()?.configuration.workspaces.find((row) => row.name === name)
      ?.ratePerSecond ?? 0;
  const inner = policy ?? new QuickFirstPolicy(servers?.queuePerSlot);
  return new FairSharePolicy(inner, new WorkspaceShares(getWeight));
};

type NodeComponents = Omit<OpenedNode, keyof NodeListeners | 'close'>;

interface RolloutParts {
  rolloutHolder: RolloutHolder;
  evidence: EvidenceCollector;
}

const createRolloutParts = (metrics: MetricsRegistry): RolloutParts => {
  const rolloutHolder = new RolloutHolder();
  return { rolloutHolder, evidence: new EvidenceCollector(rolloutHolder, metrics) };
};

/** Joins what the parts of the node report, and hands out what they receive. */
const createDistribution = (
  { distribution = {} }: OpenNodeOptions,
  rollouts: RolloutParts | undefined,
  limiter: WorkspaceLimiter | undefined,
): NonNullable<OpenNodeOptions['distribution']> => {
  if (!rollouts && !limiter) return distribution;
  const collect = (nowMs: number) => {
    const others = distribution.trafficSource?.collect(nowMs);
    return {
      evidence: rollouts?.evidence.list() ?? others?.evidence ?? [],
      usage: limiter?.collectUsage() ?? others?.usage ?? [],
    };
  };
  return {
    ...distribution,
    trafficSource: { collect },
    ...(rollouts && { rolloutHolder: rollouts.rolloutHolder }),
    ...(limiter && { quotaHolder: limiter }),
  };
};

const createComponents = (options: OpenNodeOptions): NodeComponents => {
  const { nodeId, dataCentre, tls, withdrawalBoundMs, readNowMs = Date.now } = options;
  const metrics = new MetricsRegistry();
  registerProcessMetrics(metrics);
  const holder = new ConfigurationHolder();
  const directory = new EndpointDirectory({ ownNodeId: nodeId, leaseMs: UNLISTED_RECORD_MS });
  const isByCost = options.placement === Placement.ExpectedCost;
  const routeCosts = isByCost ? new RouteCosts() : undefined;
  const admissionPolicy = createAdmissionPolicy(options, { isByCost, holder });
  const localServers = new LocalServers({
    nodeId,
    dataCentre,
    incarnation: BigInt(options.startedAtMs),
    findService: (name) => holder.current()?.findService(name),
    ...options.servers,
    ...(routeCosts && { routeCosts }),
    ...(admissionPolicy && { admissionPolicy }),
  });
  const { controls, peerSeeds = [], linkTiming: timing = {} } = options;
  const rollouts = options.hasRollouts === true ? createRolloutParts(metrics) : undefined;
  const { quotaBounds } = options;
  const workspaceLimiter =
    quotaBounds &&
    new WorkspaceLimiter({
      bounds: quotaBounds,
      countNodes: () => directory.records().length,
      random: Math.random,
    });
  if (workspaceLimiter) {
    // 0 while the node uses its reserves of quotas.
    metrics.gauge('quota_shares_renewed', () => (workspaceLimiter.isRenewed(readNowMs()) ? 1 : 0));
  }
  const link = new NodeLink(
    {
      ...{ nodeId, dataCentre, controls, holder, directory, peerSeeds },
      recordSource: localServers,
      ...createDistribution(options, rollouts, workspaceLimiter),
    },
    {
      ...{ metrics, now: readNowMs, timing, tls: () => tls?.current() },
      needsProof: withdrawalBoundMs !== undefined || rollouts !== undefined,
    },
  );
  const readAgeMs = (): number => link.getConfirmationAgeMs(readNowMs());
  const readKeyProofLeftMs = createKeyProof({
    maxAgeMs: withdrawalBoundMs && withdrawalBoundMs - CONFIRMATION_LAG_MS,
    readAgeMs,
  });
  const versions =
    rollouts &&
    new RolloutPolicy({
      rollouts: rollouts.rolloutHolder,
      isConfirmed: () => link.isCurrent(readNowMs()) && readAgeMs() <= MAX_SHARE_AGE_MS,
      random: Math.random,
    });
  const server = new RequestServer({
    nodeId,
    dataCentre,
    current: () => (link.isReadyToServe(readNowMs()).isOk() ? holder.current() : undefined),
    isCurrent: () => link.isCurrent(readNowMs()),
    readKeyProofLeftMs,
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
    ...(rollouts && { evidence: rollouts.evidence }),
    ...(versions && { versions }),
    routeCosts,
    ...(tls && { tls: () => tls.current() }),
  });
  metrics.gauge('configuration_version', () => holder.current()?.version ?? 0);
  if (withdrawalBoundMs !== undefined) metrics.gauge('confirmation_age_ms', readAgeMs);
  metrics.gauge('requests_in_flight', () => server.inFlight);
  metrics.gauge('endpoint_records', () => directory.records().length);
  holder.onInstalled(({ configuration }) => server.applyLimits(configuration.limits));
  const canAdmitKeys = (): boolean => !holder.current()?.needsKeys || readKeyProofLeftMs() > 0;
  return { metrics, holder, directory, localServers, link, server, versions, canAdmitKeys };
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
