import type { TlsMaterial } from '../../openTransport/index.js';
import type { EndpointDirectory } from '../../../process/endpoints/EndpointDirectory/index.js';
import type { ConfigurationHolder } from '../../../process/holder/ConfigurationHolder/index.js';
import type { MetricsRegistry } from '../../../process/metrics/index.js';
import type { RecordSource } from '../_lib/OwnRecord.js';

/** A control VM as a node knows it from its settings. */
export interface ControlTarget {
  /** host:port of its connect-es listener. */
  address: string;
  dataCentre: string;
}

/** What a link connects. */
export interface NodeLinkParts {
  nodeId: string;
  dataCentre: string;
  controls: ControlTarget[];
  holder: ConfigurationHolder;
  /** Must be created with the id of this node and `UNLISTED_RECORD_MS` as its lease. */
  directory: EndpointDirectory;
  recordSource: RecordSource;
  /** host:port of peers to ask at start while no record is known. */
  peerSeeds?: string[];
}

/** Times of a link in milliseconds; the defaults are in `timing.ts`. */
export interface LinkTiming {
  heartbeatIntervalMs: number;
  attachTimeoutMs: number;
  silenceMs: number;
  windowMs: number;
  backoffBaseMs: number;
  backoffCapMs: number;
  elsewhereDelayMs: number;
  homeProbeIntervalMs: number;
  unconfirmedPatienceMs: number;
  callTimeoutMs: number;
  gossipIntervalMs: number;
  cutOffAfterMs: number;
}

export interface NodeLinkOptions {
  metrics?: MetricsRegistry;
  tls?: () => TlsMaterial | undefined;
  /** Uniform in [0, 1). */
  random?: () => number;
  /** Present time in milliseconds since the epoch. */
  now?: () => number;
  timing?: Partial<LinkTiming>;
  /** Peers per gossip round. */
  gossipFanout?: number;
}
