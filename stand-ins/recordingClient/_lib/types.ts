/** Outcome of a request as observed by its caller. */
export enum RequestOutcome {
  /** 200 with the exact body of this request. */
  Answered = 'answered',
  /** 200 with another body, which violates an invariant. */
  WrongBody = 'wrong-body',
  /** Refused with `foxtailvane-outcome: not-run`. */
  NotRun = 'not-run',
  /** Failed with `foxtailvane-outcome: unknown`. */
  Unknown = 'unknown',
  /** Any other status. */
  OtherStatus = 'other-status',
  /** The connection failed or the response was incomplete. */
  ConnectionError = 'connection-error',
}

export interface RequestSpec {
  method: string;
  path: string;
  host?: string;
  body?: string;
  headers?: Record<string, string>;
  /** Whether the route is idempotent, so that more than one execution is allowed. */
  isIdempotent: boolean;
}

export interface SentRequest {
  requestId: string;
  /** Request path; absent in records that a test creates itself. */
  path?: string;
  isIdempotent: boolean;
  outcome: RequestOutcome;
  status: number;
  serverId?: string;
  error?: string;
  scheduledAtMs: number;
  /** From the scheduled time, so that a stalled client does not hide latency. */
  latencyMs: number;
}
