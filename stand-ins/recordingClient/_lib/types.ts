/** How a request ended, as its caller sees it. */
export enum RequestOutcome {
  /** 200 with the exact body of this request. */
  Answered = 'answered',
  /** 200 with another body: a violated invariant. */
  WrongBody = 'wrong-body',
  /** Refused with `foxtailvane-outcome: not-run`. */
  NotRun = 'not-run',
  /** Failed with `foxtailvane-outcome: unknown`. */
  Unknown = 'unknown',
  /** Any other status. */
  OtherStatus = 'other-status',
  /** The connection failed or the answer was incomplete. */
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
  /** Path that was asked for; absent in records made by hand. */
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
