import { create } from '@bufbuild/protobuf';

import type { ServerEntry } from '../../endpoints/types.js';
import type { ListedServer } from '../../operatorApi/types.js';
import {
  NodeRecordSchema,
  ServerSchema,
  ServerState,
} from '../../../_generated/foxtailvane/v1/endpoints_pb.js';

const STATE_BY_NAME: Record<string, ServerState> = {
  starting: ServerState.STARTING,
  serving: ServerState.SERVING,
  draining: ServerState.DRAINING,
};

const createEntry = (server: ListedServer): ServerEntry => ({
  server: create(ServerSchema, {
    serverId: server.serverId,
    service: server.service,
    state: STATE_BY_NAME[server.state] ?? ServerState.UNSPECIFIED,
    softwareVersion: server.softwareVersion,
  }),
  node: create(NodeRecordSchema, {
    nodeId: server.node,
    dataCentre: server.dataCentre,
    draining: server.isNodeDraining,
  }),
});

/**
 * Indexes the servers listed by a control VM by service.
 *
 * @param servers - response to `GET /v1/servers`
 */
const createServerIndex = (servers: ListedServer[]) => ({
  serversOf: (service: string): ServerEntry[] =>
    servers.filter((server) => server.service === service).map(createEntry),
});

export default createServerIndex;
