/** The settings of the two daemons. Addresses are `IP:port`, with IPv6 as `[IP]:port`. */
import type { LogLevel } from '../log/index.js';
import type { ReplicationTimings } from '../replication/ReplicatedLog/index.js';

/** Where log lines are written when the destination is not a file. */
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

/** Overrides of the times of replication; an absent value leaves the default. */
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
}

/** The control VMs of one data centre, as a node knows them. */
export interface ControlAddresses {
  dataCentre: string;
  addresses: string[];
}

/** Overrides of request handling defaults. */
export interface RequestSettings {
  /** Time for which a repeat with the same Idempotency-Key is recognized. */
  idempotencyRetentionMs?: number;
  /** Requests that may wait per slot of a server. */
  queuePerSlot?: number;
  /** Pause between two probes of a server. */
  probeIntervalMs?: number;
}

/** Settings of `foxtailvane node`. */
export interface NodeSettings {
  name: string;
  dataCentre: string;
  region: string;
  /** For callers. */
  listen: string;
  /** For requests forwarded by other nodes. */
  forwardListen: string;
  /** For the connect-es protocol between nodes. */
  peerListen: string;
  /** Where other nodes reach `forwardListen`; the same unless it is written. */
  forwardAddress: string;
  /** Where other nodes reach `peerListen`; the same unless it is written. */
  peerAddress: string;
  /** For servers beside this node and for local operators; always a loopback address. */
  localListen: string;
  /** `peer_listen` of some other nodes of the data centre, asked at start without a control VM. */
  peerSeeds: string[];
  /** One entry per data centre. */
  control: ControlAddresses[];
  tls?: TlsSettings;
  log: LogSettings;
  requests: RequestSettings;
}
