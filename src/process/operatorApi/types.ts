/** Response bodies of the operator API. */
import type { ApplyOutcome, MemberStatus, VersionHolder } from '../replication/ControlLog/index.js';
import type { RolloutOutcome } from '../rollouts/types.js';
import type { NodeStatus } from '../nodeStatus/types.js';
import type { SheetFault } from '../../version/validateSheet/index.js';

/** Whether a request was executed, as far as the responding control VM can determine. */
export enum RequestExecution {
  Executed = 'yes',
  NotExecuted = 'no',
  Unknown = 'unknown',
}

/** Body of every response to `POST /v1/versions/{number}` that is not an error. */
export interface ApplyResponse {
  outcome: ApplyOutcome;
  ran: RequestExecution;
  message: string;
  requestId: string;
  version: number;
  /** The accepted version that decided the outcome, if any. */
  holder?: VersionHolder;
  /** Set when the sheet is invalid. */
  faults?: SheetFault[];
}

/** Body of every response to `POST /v1/rollouts/{service}` that is not an error. */
export interface RolloutResponse {
  outcome: RolloutOutcome;
  ran: RequestExecution;
  message: string;
  requestId: string;
  service: string;
  targetVersion: string;
  durationMs: number;
}

/** One row of `GET /v1/rollouts`. */
export interface ListedRollout {
  id: number;
  service: string;
  targetVersion: string;
  /** Name of a `RolloutStage`. */
  stage: string;
  sharePermille: number;
  step: number;
  orderedAtMs: number;
  durationMs: number;
  operator: string;
  requestId: string;
  /** Why the last step was taken. */
  reason: string;
}

/** Why a request failed outside of the replicated log. */
export enum ApiErrorCode {
  Unauthorized = 'UNAUTHORIZED',
  RateLimited = 'RATE_LIMITED',
  BodyTooLarge = 'BODY_TOO_LARGE',
  BadRequest = 'BAD_REQUEST',
  NotFound = 'NOT_FOUND',
  Unavailable = 'UNAVAILABLE',
  Unknown = 'UNKNOWN',
}

/** Body of an error response. */
export interface ApiErrorResponse {
  code: ApiErrorCode;
  ran: RequestExecution;
  message: string;
}

/** Convergence of the nodes on the newest accepted version. */
export interface ConvergenceStatus {
  acceptedAtMs: number;
  /** When the version last came into force on a node; absent while no node has it in force. */
  lastInForceAtMs?: number;
  /** Time from acceptance to `lastInForceAtMs`; absent until `isComplete`. */
  convergenceMs?: number;
  /** Whether the version is in force on every connected node. */
  isComplete: boolean;
}

/** Number of nodes with a version in force. */
export interface VersionCount {
  version: number;
  nodes: number;
}

/** Body of `GET /v1/status`. */
export interface StatusResponse {
  nowMs: number;
  /** The newest accepted version known to the responding control VM. */
  accepted?: VersionHolder;
  /** Whether the responding control VM has had contact with a leader within the lease. */
  isConfirmed: boolean;
  /** Name of the leader; absent when none is known. */
  leader?: string;
  members: MemberStatus[];
  nodes: {
    total: number;
    connected: number;
    /** Nodes whose version in force is the accepted one. */
    atAccepted: number;
    versions: VersionCount[];
    /** Ids of nodes that no control VM has a connection to. */
    disconnected: string[];
    refusals: NodeStatus[];
    list: NodeStatus[];
  };
  convergence?: ConvergenceStatus;
  /** Names of the control VMs that the responding one can't reach. */
  unreachableMembers: string[];
}

/** One row of `GET /v1/servers`. */
export interface ListedServer {
  serverId: string;
  service: string;
  node: string;
  dataCentre: string;
  state: string;
  address: string;
  directAddress: string;
  slots: number;
  connections: number;
  isNodeDraining: boolean;
}
