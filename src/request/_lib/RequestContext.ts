import type { NodeRecord } from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import type { ServerEntry } from '../../process/endpoints/types.js';
import type { LocalServers } from '../../process/localServers/index.js';
import type { MetricsRegistry } from '../../process/metrics/index.js';
import type { HttpDialect } from '../httpDialect/index.js';
import type { CompiledConfiguration } from '../../version/compileConfiguration/types.js';

/** The part of the endpoint directory that requests need. */
export interface RequestDirectory {
  /** The array is not changed, and a new one is returned after each change. */
  serversOf: (service: string) => readonly ServerEntry[];
  records: () => readonly NodeRecord[];
}

/** What the handlers of a node share. */
export interface RequestContext {
  nodeId: string;
  dataCentre: string;
  /** Tells whether no newer version than the one in force can have been accepted a while ago. */
  isCurrent: () => boolean;
  /** Returns the configuration in force. */
  current: () => CompiledConfiguration | undefined;
  directory: RequestDirectory;
  localServers: LocalServers;
  metrics: MetricsRegistry;
  /** How callers and servers are spoken to. */
  dialect: HttpDialect;
  /** Returns the service beside this node; empty when there is none. */
  callerService: () => string;
  /** Returns a number from 0 up to 1. */
  random: () => number;
  /** Returns by how much this node is late with what is due, in milliseconds. */
  readLatenessMs: () => number;
  /** Returns the present time in milliseconds since the epoch. */
  getNowMs: () => number;
}
