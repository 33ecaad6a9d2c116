import type { QuotaShares } from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import type { TlsMaterial } from '../../openTransport/index.js';
import type { EndpointDirectory } from '../../../process/endpoints/EndpointDirectory/index.js';
import type { ConfigurationHolder } from '../../../process/holder/ConfigurationHolder/index.js';
import type { RolloutHolder } from '../../../process/holder/RolloutHolder/index.js';
import type { MetricsRegistry } from '../../../process/metrics/index.js';
import type { TrafficSource } from '../../../process/trafficReports/types.js';
import type { RecordSource } from '../_lib/OwnRecord.js';

/** Address and data centre of a control VM. */
export interface ControlTarget {
  /** host:port of its connect-es listener. */
  address: string;
  dataCentre: string;
}

/** Identity and dependencies of a link. */
export interface NodeLinkParts {
  nodeId: string;
  dataCentre: string;
  controls: ControlTarget[];
  holder: ConfigurationHolder;
  /** Must be created with the id of this node and `UNLISTED_RECORD_MS` as its lease. */
  directory: EndpointDirectory;
  recordSource: RecordSource;
  /** host:port of peers to contact while no records of peers are known. */
  peerSeeds?: string[];
  /** Counts to report to the control VM; nothing is reported without it. */
  trafficSource?: TrafficSource;
  /** Receives the roll-outs; its revision is part of the reports. */
  rolloutHolder?: RolloutHolder;
  quotaHolder?: QuotaHolder;
}

/** Receives the shares of quotas that this node may use. */
export interface QuotaHolder {
  /** Replaces the former shares. */
  adopt: (shares: QuotaShares, nowMs: number) => void;
  /** Keeps the shares in use. */
  renew: (nowMs: number) => void;
  /** Ends the use of the shares, because the stream that they came on has ended. */
  release: () => void;
}

/** Intervals and timeouts of a link in milliseconds; the defaults are in `timing.ts`. */
export interface LinkTiming {
  heartbeatIntervalMs: number;
  attachTimeoutMs: number;
  silenceMs: number;
  windowMs: number;
  backoffBaseMs: number;
  backoffCapMs: number;
  remoteFallbackDelayMs: number;
  localProbeIntervalMs: number;
  unconfirmedTimeoutMs: number;
  callTimeoutMs: number;
  gossipIntervalMs: number;
  controlWaitMs: number;
  /** Shortest time between two traffic reports. */
  reportIntervalMs: number;
}

export interface NodeLinkOptions {
  metrics?: MetricsRegistry;
  tls?: () => TlsMaterial | undefined;
  /** Uniform in [0, 1). */
  random?: () => number;
  /** Current time in milliseconds since the epoch. */
  now?: () => number;
  /** Time of day in milliseconds since the epoch; `Date.now` by default. */
  readWallMs?: () => number;
  /** Whether to ask control VMs for a proof of how recent their confirmations are. */
  needsProof?: boolean;
  timing?: Partial<LinkTiming>;
  /** Number of peers per gossip round. */
  gossipFanout?: number;
}
