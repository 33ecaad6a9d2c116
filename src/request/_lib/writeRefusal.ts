import type { ServerResponse } from 'node:http';
import { RETRY_AFTER_HEADER } from './internalHeaders.js';

const MS_PER_SECOND = 1_000;

/** Whether a request without a response from a server may have run. */
export enum RequestOutcome {
  NotRun = 'not-run',
  Unknown = 'unknown',
}

/** Reason code of a response that a node generates itself. */
export enum RefusalReason {
  NoConfiguration = 'NO_CONFIGURATION',
  NoRoute = 'NO_ROUTE',
  /** No route matches in the configuration of this node, which may not be the newest version. */
  VersionUnconfirmed = 'VERSION_UNCONFIRMED',
  NoServer = 'NO_SERVER',
  BadRequest = 'BAD_REQUEST',
  UnknownServer = 'UNKNOWN_SERVER',
  NodeDraining = 'NODE_DRAINING',
  NoSlot = 'NO_SLOT',
  /** The server responded that it did not run the request. */
  ServerRefused = 'SERVER_REFUSED',
  BodyTooLarge = 'BODY_TOO_LARGE',
  DeadlineTooShort = 'DEADLINE_TOO_SHORT',
  DeadlinePassed = 'DEADLINE_PASSED',
  /** The workspace uses more than its quota. */
  OverQuota = 'OVER_QUOTA',
  /** No key, or one that no workspace holds. */
  UnknownKey = 'UNKNOWN_KEY',
  /** The key may have been withdrawn since this node was last confirmed. */
  KeyUnconfirmed = 'KEY_UNCONFIRMED',
  /** Several servers ended while they ran this request, so it is sent to no other one. */
  CrashesServers = 'CRASHES_SERVERS',
  NotConnected = 'NOT_CONNECTED',
  NoResponse = 'NO_RESPONSE',
  Truncated = 'TRUNCATED',
  KeyInUse = 'IDEMPOTENCY_KEY_IN_USE',
  KeyUnknown = 'IDEMPOTENCY_KEY_UNKNOWN',
  KeyMismatch = 'IDEMPOTENCY_KEY_MISMATCH',
  KeyHolderUnreachable = 'IDEMPOTENCY_HOLDER_UNREACHABLE',
  KeyHoldersIncomplete = 'IDEMPOTENCY_HOLDERS_COLD',
  KeyStoreFull = 'IDEMPOTENCY_STORE_FULL',
}

/** A response that this node generates itself instead of a server. */
export interface Refusal {
  statusCode: number;
  outcome: RequestOutcome;
  reason: RefusalReason;
  message: string;
  retryAfterMs?: number;
}

const DEFAULT_RETRY_AFTER_MS = 1_000;

/**
 * Creates a refusal of a request that certainly did not run.
 *
 * @param reason - reason code
 * @param message - explanation for people
 * @param options - `statusCode`: HTTP status, 503 by default; `retryAfterMs`: pause before a retry
 */
export const createNotRunRefusal = (
  reason: RefusalReason,
  message: string,
  options: { statusCode?: number; retryAfterMs?: number | undefined } = {},
): Refusal => ({
  statusCode: options.statusCode ?? 503,
  outcome: RequestOutcome.NotRun,
  reason,
  message,
  ...(options.retryAfterMs !== undefined && { retryAfterMs: options.retryAfterMs }),
});

/**
 * Creates a refusal of a request that may have run.
 *
 * @param reason - reason code
 * @param message - explanation for people
 * @param options - `statusCode`: HTTP status, 502 by default
 */
export const createUnknownRefusal = (
  reason: RefusalReason,
  message: string,
  options: { statusCode?: number } = {},
): Refusal => ({
  statusCode: options.statusCode ?? 502,
  outcome: RequestOutcome.Unknown,
  reason,
  message,
});

/**
 * Writes a refusal to a request that got no response from a server.
 *
 * @param response - response whose head has not been written
 * @param refusal - status, outcome, reason and message
 * @param options - `closesConnection`: whether to close the connection because the rest of the
 *   request body is not read
 */
export const writeRefusal = (
  response: ServerResponse,
  refusal: Refusal,
  options: { closesConnection: boolean },
): void => {
  const body = JSON.stringify({
    outcome: refusal.outcome,
    reason: refusal.reason,
    message: refusal.message,
  });
  const headers = [
    'content-type',
    'application/json',
    'content-length',
    String(Buffer.byteLength(body)),
    'foxtailvane-outcome',
    refusal.outcome,
    'foxtailvane-reason',
    refusal.reason,
  ];
  if (refusal.outcome === RequestOutcome.NotRun && refusal.retryAfterMs !== undefined) {
    headers.push(RETRY_AFTER_HEADER, String(Math.round(refusal.retryAfterMs)));
  }
  if (refusal.statusCode === 503) {
    const seconds = Math.ceil((refusal.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS) / MS_PER_SECOND);
    headers.push('retry-after', String(Math.max(1, seconds)));
  }
  if (options.closesConnection) response.shouldKeepAlive = false;
  response.writeHead(refusal.statusCode, headers);
  response.end(body);
};
