/** The settings of the two daemons. Addresses are `IP:port`, with IPv6 as `[IP]:port`. */
import type Placement from '../../request/placement/index.js';
import type { LogLevel } from '../log/index.js';
import type { QuotaBounds } from '../quotas/types.js';
import type { RolloutLimits } from '../rollouts/decideRollout/index.js';
import type { ReplicationTimings } from '../replication/ReplicatedLog/index.js';

/** Standard streams that can be a log destination. */
export enum LogStream {
  Stdout = 'stdout',
  Stderr = 'stderr',
}

export interface LogSettings {
  level: LogLevel;
  /** `stdout`, `stderr` or the path of a file. */
  destination: string;
}

/** Paths of PEM files for mutual TLS between processes. */
export interface TlsSettings {
  key: string;
  certificate: string;
  ca: string;
}

/** A control VM of the deployment. */
export interface MemberSettings {
  name: string;
  dataCentre: string;
  /** `IP:port` of the listener for control peers and nodes. */
  address: string;
}

/** Overrides of the replication timings; an absent value keeps the default. */
export type TimingSettings = Partial<ReplicationTimings>;

/** Settings of `foxtailvane control`. */
export interface ControlSettings {
  name: string;
  dataCentre: string;
  region: string;
  dataFolder: string;
  listen: string;
  operatorListen: string;
  /** All control VMs, this one included. */
  members: MemberSettings[];
  operator: { tokenFile: string };
  tls?: TlsSettings;
  log: LogSettings;
  timing: TimingSettings;
  /** Limits of roll-outs; without them none can be ordered. */
  rollouts?: RolloutLimits;
  /** Bounds of the quotas of workspaces; without them, quotas do not count. */
  quotas?: QuotaBounds;
}

/** Addresses of the control VMs of one data centre. */
export interface ControlAddresses {
  dataCentre: string;
  addresses: string[];
}

/** Overrides of request handling defaults. */
export interface RequestSettings {
  /** How long an Idempotency-Key is kept to recognize repeated requests. */
  idempotencyRetentionMs?: number;
  /** Maximum number of queued requests per slot of a server. */
  queuePerSlot?: number;
  /** How servers are chosen; `LeastDelay` by default. */
  placement?: Placement;
  /** Interval between two probes of a server. */
  probeIntervalMs?: number;
  /** Whether servers are chosen by software version, as operators order it; off by default. */
  hasRollouts?: boolean;
}

/** Settings of `foxtailvane node`. */
export interface NodeSettings {
  name: string;
  dataCentre: string;
  region: string;
  /** Listener for callers. */
  listen: string;
  /** Listener for requests forwarded by other nodes. */
  forwardListen: string;
  /** Listener for the connect-es protocol between nodes. */
  peerListen: string;
  /** Address at which other nodes reach `forwardListen`; defaults to it. */
  forwardAddress: string;
  /** Address at which other nodes reach `peerListen`; defaults to it. */
  peerAddress: string;
  /** Loopback listener for the servers on this VM and for local operators. */
  localListen: string;
  /** `peer_listen` of other nodes of the data centre, queried at start if no control VM is reachable. */
  peerSeeds: string[];
  /** One entry per data centre. */
  control: ControlAddresses[];
  tls?: TlsSettings;
  log: LogSettings;
  requests: RequestSettings;
  /** Bounds of the quotas of workspaces, as on the control VMs. */
  quotas?: QuotaBounds;
}
