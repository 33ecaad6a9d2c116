/** Faults that a backend server injects. */
export enum BackendFault {
  None = 'none',
  /** Service times are multiplied by `slowFactor`. */
  Slow = 'slow',
  /** Every request is executed and answered with 500; health checks still pass. */
  FailAll = 'fail-all',
  /** The process is killed after half of the response body was written. */
  CrashDuringResponse = 'die-in-answer',
  /** The connection is closed on the first part of a request body, before execution. */
  CloseWhileReading = 'close-while-reading',
  /** Responds with 413 before reading the request body. */
  RespondBeforeBody = 'answer-early',
}

/** How `/health` and `/load` relate to the actual state. */
export enum ProbeBehaviour {
  Accurate = 'honest',
  /** Reports the state of `probeLagMs` ago. */
  Lagging = 'lagging',
  /** Always reports a healthy, idle server. */
  AlwaysHealthy = 'lying',
}

export enum BackendState {
  Starting = 'starting',
  Serving = 'serving',
  Draining = 'draining',
}

export interface FaultSettings {
  fault: BackendFault;
  slowFactor: number;
  probes: ProbeBehaviour;
  probeLagMs: number;
}

export const NO_FAULTS: FaultSettings = {
  fault: BackendFault.None,
  slowFactor: 10,
  probes: ProbeBehaviour.Accurate,
  probeLagMs: 0,
};

export interface BackendServerOptions {
  serverId: string;
  service: string;
  /** Base URL of the node's `local_listen`; unset when the server does not announce itself. */
  nodeUrl?: string;
  host?: string;
  /** 0 lets the system choose. */
  port?: number;
  slots?: number;
  connections?: number;
  newConnectionMs?: number;
  probeMs?: number;
  /** Service time of one request at speed factor 1. */
  serviceMs?: number;
  speedFactor?: number;
  /** Period after the start in which requests take longer. */
  coldStartMs?: number;
  /** Multiplier of the service time at the start; falls linearly to 1 over `coldStartMs`. */
  coldFactor?: number;
  leaseMs?: number;
  /** Minimum time between announcing `draining` and leaving. */
  drainMs?: number;
  /** File that receives one JSON line per executed request start and end. */
  recordFile: string;
  /** Whether the server offers its address for calls with a slot grant. */
  isDirect?: boolean;
  /** `host:port` to announce instead of the listener, for a proxy in front of it. */
  announcedAddress?: string;
  /** URL for nested calls, on the node's `listen`. */
  nestedUrl?: string;
  nestedHost?: string;
  /** Kills the process without cleanup. */
  terminate: () => void;
}
