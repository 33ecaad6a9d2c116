/** Starts the daemon of a node: configuration, endpoints, local servers and request handling. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import type { ControlTarget } from '../../../connection/distribution/NodeLink/index.js';
import type { DaemonError } from '../../daemon/DaemonError/index.js';
import { serveHttp } from '../../daemon/serveHttp/index.js';
import { openTls, reloadOnHangup } from '../../daemon/openTls/index.js';
import { createLogger } from '../../log/index.js';
import type { NodeSettings } from '../../settings/index.js';
import { ProcessRole } from '../../tls/readIdentity/index.js';
import { createLocalApi } from '../_lib/createLocalApi.js';
import { openNode } from '../openNode/index.js';

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

/**
 * Starts the daemon of a node.
 *
 * @param settings - validated settings
 * @param nowMs - start time of the process in milliseconds since the epoch
 * @returns the running daemon; TlsInvalid when the TLS files can't be used, ListenFailed when an
 *   address can't be bound
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
  const { queuePerSlot, placement, hasRollouts = false, ...requests } = settings.requests;
  const opened = await openNode({
    nodeId,
    dataCentre,
    listen: settings.listen,
    forwardListen: settings.forwardListen,
    peerListen: settings.peerListen,
    forwardAddress: settings.forwardAddress,
    peerAddress: settings.peerAddress,
    controls: listControls(settings),
    peerSeeds: settings.peerSeeds,
    startedAtMs: nowMs,
    tls,
    servers: { ...(queuePerSlot !== undefined && { queuePerSlot }) },
    hasRollouts,
    ...(placement !== undefined && { placement }),
    requests,
    quotaBounds: settings.quotas,
  });
  if (opened.isErr()) return err(opened.error);
  const { metrics, holder, directory, localServers, link, server } = opened.value;
  const { listen, forwardListen, peerListen, versions, close } = opened.value;
  const api = createLocalApi({
    ...{ link, holder, directory, localServers, metrics },
    ...(versions && { versions }),
  });
  const localListener = await serveHttp(api, settings.localListen);
  if (localListener.isErr()) {
    await close();
    return err(localListener.error);
  }
  tls?.onReloaded(() => server.reloadTls());
  const stopReloading = reloadOnHangup(tls);
  link.start();
  const localListen = localListener.value.address;
  logger.info({ nodeId, listen, forwardListen, peerListen, localListen }, 'node daemon started');

  const stop = async (): Promise<void> => {
    stopReloading();
    await localListener.value.close();
    await close();
    logger.info({ nodeId }, 'node daemon stopped');
  };
  const drain = async (): Promise<void> => {
    logger.info({ nodeId }, 'node is draining');
    await server.drain();
    await stop();
  };
  return ok({ listen, forwardListen, peerListen, localListen, drain, stop });
};
