/** Search for a server that runs beside a restarted node, before its next announcement. */
import { Client } from 'undici';

import { createLogger } from '../../log/index.js';
import { AnnouncedState } from '../_lib/parseAnnouncement.js';

import type { LocalServers } from '../LocalServers/index.js';

const PROBE_TIMEOUT_MS = 500;
const HTTP_OK = 200;

const log = createLogger('local-servers');

/** What is known of the server before it is asked. */
export interface ExpectedServer {
  service: string;
  /** `IP:port` of the server. */
  address: string;
  healthPath: string;
  slots: number;
  /** Response header in which the server names itself. */
  identityHeader: string;
}

const probeIdentity = async (server: ExpectedServer): Promise<string | undefined> => {
  const client = new Client(`http://${server.address}`);
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
    log.debug({ address: server.address, reason: String(error) }, 'no server found by its probe');
    return undefined;
  } finally {
    await client.destroy();
  }
};

/**
 * Asks a server for its health and, if it is healthy, announces it in its place.
 *
 * @param localServers - receives the announcement unless one came meanwhile
 * @param server - where the server should be
 * @param readNowMs - clock of the leases
 * @returns true when the server was found
 */
export const discoverServer = async (
  localServers: LocalServers,
  server: ExpectedServer,
  readNowMs: () => number,
): Promise<boolean> => {
  const serverId = await probeIdentity(server);
  if (serverId === undefined || localServers.list().length > 0) return false;
  const { service, address, slots } = server;
  const state = AnnouncedState.Serving;
  const announcement = { service, address, slots, connections: slots, state };
  const announced = localServers.announce(serverId, announcement, readNowMs());
  log.info({ serverId, service, address, slots }, 'server found by its probe');
  return announced.isOk();
};
