import { createLogger } from '../../process/log/index.js';
import { LOANS_HEADER } from './callHeader.js';
import MAX_NODE_CONNECTIONS from './nodeConnections.js';

import type { UpstreamPools } from '../../connection/UpstreamPools/index.js';
import type { RequestDirectory } from './RequestContext.js';
import type PeerTracker from '../trackPeers/index.js';

/** A node that answers this late is of no use to a request. */
const ANSWER_TIMEOUT_MS = 400;

const log = createLogger('hop');

const isAnswering = async (pools: UpstreamPools, address: string): Promise<boolean> => {
  try {
    const { body } = await pools.get(address, MAX_NODE_CONNECTIONS).request({
      method: 'GET',
      path: '/',
      // A report without loans is answered by every node and changes nothing.
      headers: { [LOANS_HEADER]: ';' },
      signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
    });
    await body.dump();
    return true;
  } catch (error) {
    log.debug({ address, reason: String(error) }, 'silent node does not answer yet');
    return false;
  }
};

/**
 * Asks silent nodes whether they answer again, so that no request of a caller has to find out.
 *
 * @param peers - the silent nodes
 * @param directory - their addresses
 * @param pools - connections to other nodes
 * @param readNowMs - clock of the node
 */
const askPeers = async (
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
      // Counts as the next silence at once, so that the node is not asked twice at a time.
      peers.recordFailure(nodeId, readNowMs());
      if (address === undefined || !(await isAnswering(pools, address))) return;
      peers.recordResponse(nodeId);
      log.info({ nodeId }, 'node answers again');
    }),
  );
};

export default askPeers;
