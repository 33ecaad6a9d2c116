import type { NodeRecord, Server } from '../../_generated/foxtailvane/v1/endpoints_pb.js';

/** A backend server together with the record of the node that serves it. */
export interface ServerEntry {
  readonly server: Server;
  readonly node: NodeRecord;
}
