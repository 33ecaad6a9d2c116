import { ServerState } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';

import type { NodeRecord } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';
import type { ListedServer } from '../types.js';

const STATE_NAMES: Record<ServerState, string> = {
  [ServerState.UNSPECIFIED]: 'unspecified',
  [ServerState.STARTING]: 'starting',
  [ServerState.SERVING]: 'serving',
  [ServerState.DRAINING]: 'draining',
};

/**
 * Lists the servers of all nodes, sorted by service and id.
 *
 * @param records - the node records in the endpoint directory of this control VM
 */
const listServers = (records: NodeRecord[]): ListedServer[] =>
  records
    .flatMap((record) =>
      record.servers.map((server) => ({
        serverId: server.serverId,
        service: server.service,
        node: record.nodeId,
        dataCentre: record.dataCentre,
        state: STATE_NAMES[server.state],
        address: server.address,
        directAddress: server.directAddress,
        slots: server.slots,
        connections: server.connections,
        isNodeDraining: record.draining,
        softwareVersion: server.softwareVersion,
      })),
    )
    .toSorted(
      (left, right) =>
        left.service.localeCompare(right.service) || left.serverId.localeCompare(right.serverId),
    );

export default listServers;
