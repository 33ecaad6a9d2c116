import type { NodeRecord } from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import type { ServerEntry } from '../../process/endpoints/types.js';
import type { LocalServers, RouteCosts } from '../../process/localServers/index.js';
import type { MetricsRegistry } from '../../process/metrics/index.js';
import type { ReportExchange } from '../shareReports/index.js';
import type CallRoutes from '../recognizeCalls/index.js';
import type { HttpDialect } from '../httpDialect/index.js';
import type { CompiledConfiguration } from '../../version/compileConfiguration/types.js';

/** The part of the endpoint directory that request handling uses. */
export interface RequestDirectory {
  /** Returns the servers of a service. The array is immutable and replaced on each change. */
  serversOf: (service: string) => readonly ServerEntry[];
  /** Returns the records of all known nodes. */
  records: () => readonly NodeRecord[];
}

/** What nodes learn of the cost of requests, and how they tell each other. */
export interface CostSharing {
  routeCosts: RouteCosts;
  exchange: ReportExchange;
  /** Recognizes calls at the servers beside this node. */
  callRoutes: CallRoutes;
  /** Routes that other nodes recognized as those of calls. */
  reportedCallRoutes: Set<string>;
}

/** Dependencies that the request handlers of a node share. */
export interface RequestContext {
  nodeId: string;
  dataCentre: string;
  /** Returns whether a control VM has recently confirmed that this node holds the newest version. */
  isCurrent: () => boolean;
  /**
   * Returns the time, in milliseconds, until a key of this node's version may have been withdrawn for
   * longer than the operators allow; not above 0 if that may be so, Infinity without a limit.
   */
  readKeyProofLeftMs: () => number;
  /** Returns whether a request that is read now may have waited while this process did not run. */
  isAfterPause: () => boolean;
  /**
   * Returns the time, in milliseconds, until the requests in flight are aborted, once so little of a
   * drain is left that a request must end within it to be accepted; Infinity before.
   */
  readDrainLeftMs: () => number;
  /** Returns the configuration in force, if there is one. */
  current: () => CompiledConfiguration | undefined;
  directory: RequestDirectory;
  localServers: LocalServers;
  metrics: MetricsRegistry;
  /** Headers and refusal formats for callers and backend servers. */
  dialect: HttpDialect;
  /** Returns the service on the VM of this node; empty when there is none. */
  callerService: () => string;
  /** Set when servers are selected by expected cost. */
  costs: CostSharing | undefined;
  /** Returns a random number in [0, 1). */
  random: () => number;
  /** Returns the mean delay of timers on this node, in milliseconds. */
  readLatenessMs: () => number;
  /** Returns the current time in milliseconds since the epoch. */
  getNowMs: () => number;
}
