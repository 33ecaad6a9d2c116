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

const createEntry = (answer: ListedServer): ServerEntry => ({
  server: create(ServerSchema, {
    serverId: answer.serverId,
    service: answer.service,
    state: STATE_BY_NAME[answer.state] ?? ServerState.UNSPECIFIED,
  }),
  node: create(NodeRecordSchema, {
    nodeId: answer.node,
    dataCentre: answer.dataCentre,
    draining: answer.isNodeDraining,
  }),
});

/**
 * Indexes the servers listed by a control VM by service.
 *
 * @param answers - response to `GET /v1/servers`
 */
const createServerIndex = (answers: ListedServer[]) => ({
  serversOf: (service: string): ServerEntry[] =>
    answers.filter((answer) => answer.service === service).map(createEntry),
});

export default createServerIndex;
