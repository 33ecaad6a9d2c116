/** The messages of the operator API. */
import type { ApplyOutcome, MemberStatus, VersionHolder } from '../replication/ControlLog/index.js';
import type { NodeStatus } from '../fleet/types.js';
import type { SheetFault } from '../../version/validateSheet/index.js';

/** Whether a request changed something, as far as the answering control VM knows. */
export enum RequestRan {
  Yes = 'yes',
  No = 'no',
  Unknown = 'unknown',
}

/** Body of every answer to `POST /v1/versions/{number}`. */
export interface ApplyAnswer {
  outcome: ApplyOutcome;
  ran: RequestRan;
  message: string;
  requestId: string;
  version: number;
  /** Set when another operator or an earlier request holds a number. */
  holder?: VersionHolder;
  /** Set when the sheet is invalid. */
  faults?: SheetFault[];
}

/** Why a request was refused before it reached the replicated log. */
export enum ApiErrorCode {
  Unauthorized = 'UNAUTHORIZED',
  RateLimited = 'RATE_LIMITED',
  BodyTooLarge = 'BODY_TOO_LARGE',
  BadRequest = 'BAD_REQUEST',
  NotFound = 'NOT_FOUND',
  Unavailable = 'UNAVAILABLE',
  Unknown = 'UNKNOWN',
}

/** Body of an answer that is not the result of an operation. */
export interface ApiErrorAnswer {
  code: ApiErrorCode;
  ran: RequestRan;
  message: string;
}

/** How far the newest accepted version has spread. */
export interface ConvergenceStatus {
  acceptedAtMs: number;
  /** When the last node reported the version; absent while none has. */
  lastInForceAtMs?: number;
  /** Time from acceptance to the last node in force; absent until all connected nodes are there. */
  convergenceMs?: number;
  isComplete: boolean;
}

/** Nodes by version in force. */
export interface VersionCount {
  version: number;
  nodes: number;
}

/** Body of `GET /v1/status`. */
export interface StatusAnswer {
  nowMs: number;
  /** The newest version that the answering control VM knows to be accepted. */
  accepted?: VersionHolder;
  /** Whether the answering control VM heard from a leader within the lease. */
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
  /** Names of control VMs that the answering one can't reach. */
  unreachableMembers: string[];
}

/** One row of `GET /v1/servers`. */
export interface ServerAnswer {
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
