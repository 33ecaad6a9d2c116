/** Node records for tests and experiments. */
import { create } from '@bufbuild/protobuf';

import { NodeRecordSchema, ServerState } from '../../src/_generated/foxtailvane/v1/endpoints_pb.js';

import type { NodeRecord } from '../../src/_generated/foxtailvane/v1/endpoints_pb.js';

/** Builds the record that a node announces, with one server. */
export const buildRecord = (nodeId: string, fields: Partial<NodeRecord> = {}): NodeRecord => ({
  ...create(NodeRecordSchema, {
    nodeId,
    dataCentre: 'dc1',
    incarnation: BigInt(Date.now()),
    forwardAddress: '127.0.0.1:7500',
    servers: [
      {
        serverId: `${nodeId}-server`,
        service: 'service-000',
        address: '127.0.0.1:9000',
        slots: 20,
        connections: 130,
        state: ServerState.SERVING,
      },
    ],
  }),
  ...fields,
});

export type { NodeRecord } from '../../src/_generated/foxtailvane/v1/endpoints_pb.js';
