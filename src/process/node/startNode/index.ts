/** The daemon of a node: configuration in force, endpoints, local servers and the request path. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import { NodeLink } from '../../../connection/distribution/NodeLink/index.js';
import type { ControlTarget } from '../../../connection/distribution/NodeLink/index.js';
import { UNLISTED_RECORD_MS } from '../../../connection/distribution/timing.js';
import { startRpcServer } from '../../../connection/startRpcServer/index.js';
import { RequestServer } from '../../../request/index.js';
import { DaemonError, DaemonErrorCode } from '../../daemon/DaemonError/index.js';
import { serveHttp } from '../../daemon/serveHttp/index.js';
import { openTls, reloadOnHangup } from '../../daemon/openTls/index.js';
import { EndpointDirectory } from '../../endpoints/EndpointDirectory/index.js';
import { ConfigurationHolder } from '../../holder/ConfigurationHolder/index.js';
import { LocalServers } from '../../localServers/index.js';
import { createLogger } from '../../log/index.js';
import { MetricsRegistry } from '../../metrics/index.js';
import registerProcessMetrics from '../../metrics/registerProcessMetrics.js';
import type { NodeSettings } from '../../settings/index.js';
import { ProcessRole } from '../../tls/readIdentity/index.js';
import type { TlsStore } from '../../tls/TlsStore/index.js';
import { createLocalApi } from '../_lib/createLocalApi.js';

const logger = createLogger('node');

/** Addresses that a node has bound, each `IP:port`. */
export interface NodeAddresses {
  listen: string;
  forwardListen: string;
  peerListen: string;
  localListen: string;
}

/** A running node daemon. */
export interface NodeDaemon extends NodeAddresses {
  /** Finishes the requests in flight, then stops. */
  drain: () => Promise<void>;
  /** Stops at once; requests in flight fail. */
  stop: () => Promise<void>;
}

const listControls = (settings: NodeSettings): ControlTarget[] =>
  settings.control.flatMap(({ dataCentre, addresses }) =>
    addresses.map((address) => ({ address, dataCentre })),
  );

const toListenError = (error: unknown): DaemonError => {
  const reason = error instanceof Error ? error.message : String(error);
  return new DaemonError(DaemonErrorCode.ListenFailed, `cannot listen: ${reason}`, error);
};

/** Listeners that other processes connect to. */
interface BoundListeners extends Pick<NodeAddresses, 'listen' | 'forwardListen' | 'peerListen'> {
  closePeer: () => Promise<void>;
}

const bindListeners = async (
  settings: NodeSettings,
  server: RequestServer,
  link: NodeLink,
  tls: TlsStore | undefined,
): Promise<Result<BoundListeners, DaemonError>> => {
  try {
    const { listen, forwardListen } = await server.start();
    const peer = await startRpcServer(settings.peerListen, {
      tls,
      routes: (router) => {
        link.registerRoutes(router);
        server.registerPeerServices(router);
      },
    });
    return ok({ listen, forwardListen, peerListen: peer.address, closePeer: peer.close });
  } catch (error) {
    await server.stop();
    return err(toListenError(error));
  }
};

/**
 * Starts the daemon of a node.
 *
 * @param settings - checked settings
 * @param nowMs - start time of the process in milliseconds since the epoch
 * @returns the running daemon; ListenFailed when an address can't be bound
 *
 * @example
 * const daemon = await startNode(settings, Date.now());
 */
export const startNode = async (
  settings: NodeSettings,
  nowMs: number,
): Promise<Result<NodeDaemon, DaemonError>> => {
  const { name: nodeId, dataCentre } = settings;
  const openedTls = await openTls(settings, ProcessRole.Node, nowMs);
  if (openedTls.isErr()) return err(openedTls.error);
  const tls = openedTls.value;
  const metrics = new MetricsRegistry();
  registerProcessMetrics(metrics);
  const holder = new ConfigurationHolder();
  const directory = new EndpointDirectory({ ownNodeId: nodeId, leaseMs: UNLISTED_RECORD_MS });
  const localServers = new LocalServers({
    nodeId,
    dataCentre,
    incarnation: BigInt(nowMs),
    queuePerSlot: settings.requests.queuePerSlot,
    findService: (name) => holder.current()?.findService(name),
  });
  const link = new NodeLink(
    {
      nodeId,
      dataCentre,
      controls: listControls(settings),
      holder,
      directory,
      recordSource: localServers,
      peerSeeds: settings.peerSeeds,
    },
    { metrics, tls: () => tls?.current() },
  );
  const server = new RequestServer({
    nodeId,
    dataCentre,
    current: () => (link.isReadyToServe(Date.now()).isOk() ? holder.current() : undefined),
    directory: {
      serversOf: (service) => directory.serversOf(service),
      records: () => directory.records(),
    },
    localServers,
    metrics,
    listen: settings.listen,
    forwardListen: settings.forwardListen,
    startedAtMs: nowMs,
    ...settings.requests,
    ...(tls && { tls: () => tls.current() }),
  });
  const bound = await bindListeners(settings, server, link, tls);
  if (bound.isErr()) return err(bound.error);
  const { listen, forwardListen, peerListen, closePeer } = bound.value;
  localServers.setAddresses({
    forwardAddress: settings.forwardAddress,
    peerAddress: settings.peerAddress,
  });
  const api = createLocalApi({ link, holder, directory, localServers, metrics });
  const local = await serveHttp(api, settings.localListen);
  if (local.isErr()) {
    await closePeer();
    await server.stop();
    return err(local.error);
  }
  metrics.gauge('configuration_version', () => holder.current()?.version ?? 0);
  metrics.gauge('requests_in_flight', () => server.inFlight);
  metrics.gauge('endpoint_records', () => directory.records().length);
  tls?.onReloaded(() => server.reloadTls());
  const stopReloading = reloadOnHangup(tls);
  link.start();
  const localListen = local.value.address;
  logger.info({ nodeId, listen, forwardListen, peerListen, localListen }, 'node daemon started');

  const stop = async (): Promise<void> => {
    stopReloading();
    await link.stop();
    await closePeer();
    await local.value.close();
    await server.stop();
    logger.info({ nodeId }, 'node daemon stopped');
  };
  const drain = async (): Promise<void> => {
    logger.info({ nodeId }, 'node is draining');
    await server.drain();
    await stop();
  };
  return ok({ listen, forwardListen, peerListen, localListen, drain, stop });
};
