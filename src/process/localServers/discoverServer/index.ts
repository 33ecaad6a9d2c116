/** Discovery of the server of a restarted node before the server's next announcement. */
import { Client, buildConnector } from 'undici';

import guardPausedResponses from '../../../connection/guardPausedResponses/index.js';
import { limitOverhead } from '../../../connection/limitOverhead/index.js';
import { createLogger } from '../../log/index.js';
import { AnnouncedState } from '../_lib/parseAnnouncement.js';

import type { LocalServers } from '../LocalServers/index.js';

const PROBE_TIMEOUT_MS = 500;
const HTTP_OK = 200;

const log = createLogger('local-servers');

/** A server that is expected to run at an address. */
export interface ExpectedServer {
  service: string;
  /** `IP:port` of the server. */
  address: string;
  healthPath: string;
  slots: number;
  /** Lower-case name of the response header that carries the server's id. */
  identityHeader: string;
}

const connect = limitOverhead(guardPausedResponses(buildConnector({ timeout: PROBE_TIMEOUT_MS })));

const probeIdentity = async (server: ExpectedServer): Promise<string | undefined> => {
  const client = new Client(`http://${server.address}`, { connect });
  try {
    const { statusCode, headers, body } = await client.request({
      method: 'GET',
      path: server.healthPath,
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
    });
    await body.dump();
    const identity = headers[server.identityHeader];
    return statusCode === HTTP_OK && typeof identity === 'string' ? identity : undefined;
  } catch (error) {
    log.debug({ address: server.address, reason: String(error) }, 'server discovery probe failed');
    return undefined;
  } finally {
    await client.destroy();
  }
};

/**
 * Probes the health of a server and, if it is healthy, announces it on its behalf.
 *
 * @param localServers - receives the announcement, unless a server was announced meanwhile
 * @param server - expected server
 * @param readNowMs - clock of the leases, in milliseconds
 * @returns true when the server was found and announced
 */
export const discoverServer = async (
  localServers: LocalServers,
  server: ExpectedServer,
  readNowMs: () => number,
): Promise<boolean> => {
  const serverId = await probeIdentity(server);
  if (serverId === undefined || localServers.list().length > 0) return false;
  const { service, address, slots } = server;
  // A server that deregistered may serve on for a while, and be healthy.
  if (localServers.isWithdrawn(serverId, address)) return false;
  const state = AnnouncedState.Serving;
  const announcement = { service, address, slots, connections: slots, state };
  const announced = localServers.announce(serverId, announcement, readNowMs());
  log.info({ serverId, service, address, slots }, 'server discovered by a health probe');
  return announced.isOk();
};
