import { createLogger } from '../../process/log/index.js';
import { GRANT_UPDATE_HEADER } from './internalHeaders.js';
import MAX_NODE_CONNECTIONS from './maxNodeConnections.js';

import type { UpstreamPools } from '../../connection/UpstreamPools/index.js';
import type { RequestDirectory } from './RequestContext.js';
import type PeerTracker from '../trackPeers/index.js';

/** A node that responds later than this is too slow to serve requests. */
const PROBE_TIMEOUT_MS = 400;

const log = createLogger('hop');

const isResponding = async (pools: UpstreamPools, address: string): Promise<boolean> => {
  try {
    const { body } = await pools.get(address, MAX_NODE_CONNECTIONS).request({
      method: 'GET',
      path: '/',
      // Every node answers an empty grant update, which changes no state.
      headers: { [GRANT_UPDATE_HEADER]: ';' },
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
    });
    await body.dump();
    return true;
  } catch (error) {
    log.debug({ address, reason: String(error) }, 'node is still unresponsive');
    return false;
  }
};

/**
 * Probes the unresponsive nodes whose probe is due, so that recovery is detected without risking a
 * caller's request.
 *
 * @param peers - tracks the unresponsive nodes
 * @param directory - provides the node addresses
 * @param pools - connections to other nodes
 * @param readNowMs - returns the current time in milliseconds since the epoch
 */
const probePeers = async (
  peers: PeerTracker,
  directory: RequestDirectory,
  pools: UpstreamPools,
  readNowMs: () => number,
): Promise<void> => {
  const due = peers.listDueForProbe(readNowMs());
  if (due.length === 0) return;
  const addresses = new Map(
    directory.records().map(({ nodeId, forwardAddress }) => [nodeId, forwardAddress]),
  );
  await Promise.all(
    due.map(async (nodeId) => {
      const address = addresses.get(nodeId);
      // Recorded as a failure before the probe, which prevents concurrent probes of one node.
      peers.recordFailure(nodeId, readNowMs());
      if (address === undefined || !(await isResponding(pools, address))) return;
      peers.recordResponse(nodeId);
      log.info({ nodeId }, 'node responds again');
    }),
  );
};

export default probePeers;
