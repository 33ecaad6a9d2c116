/** Messages between the benchmark and its worker processes. */

/** Role of a worker process. */
export enum Role {
  Backends = 'BACKENDS',
  Owners = 'OWNERS',
  Entry = 'ENTRY',
}

/** Address of a backend server and how it is announced. */
export interface AnnouncedBackend {
  service: string;
  address: string;
  isDirect: boolean;
}

export interface StartMessage {
  role: Role;
  /** Only for `Role.Owners`: the backend servers to announce. */
  backends?: AnnouncedBackend[];
  /** Only for `Role.Entry`: records of the owner nodes in protobuf JSON format. */
  records?: unknown[];
  service?: string;
  isRoundRobin?: boolean;
  logsEachDecision?: boolean;
}

export interface StartedMessage {
  addresses?: string[];
  records?: unknown[];
}

/** Processor time and memory of a process, and the requests that its nodes sent directly. */
export interface UsageMessage {
  cpuUs: number;
  directCount: number;
  residentBytes: number;
}

export type Reply = { started: StartedMessage } | { usage: UsageMessage };
