/** Messages between the benchmark and its processes. */

/** What a process of the benchmark does. */
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
  /** For owners. */
  backends?: AnnouncedBackend[];
  /** For entries: records of the owners as JSON of the protobuf message. */
  records?: unknown[];
  service?: string;
  isRoundRobin?: boolean;
  logsEachDecision?: boolean;
}

export interface StartedMessage {
  addresses?: string[];
  records?: unknown[];
}

/** Processor time of a process so far, and the requests that its nodes handled. */
export interface UsageMessage {
  cpuUs: number;
  directCount: number;
  residentBytes: number;
}

export type Reply = { started: StartedMessage } | { usage: UsageMessage };
