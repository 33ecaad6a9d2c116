/** Sends an `apply` request and retries until its outcome is known or the deadline has passed. */
import { setTimeout as sleep } from 'node:timers/promises';

import { ApplyOutcome } from '../../replication/ControlLog/index.js';
import { ExchangeOutcome } from './OperatorClient.js';
import { describeExchange } from './fetchResource.js';

import type { ApplyResponse } from '../../operatorApi/types.js';
import type { VersionHolder } from '../../replication/ControlLog/index.js';
import type { Exchange, OperatorClient } from './OperatorClient.js';

/** A sheet to apply, with its version number and request id. */
export interface VersionSubmission {
  version: number;
  sheet: Uint8Array;
  requestId: string;
  operator: string;
  /** SHA-256 of the content, lower-case hexadecimal. */
  contentHash: string;
}

export interface SendApplyOptions {
  /** No retry round starts after this time, in milliseconds since the epoch. */
  deadlineMs: number;
  /** Returns the current time in milliseconds since the epoch. */
  nowMs: () => number;
  /** Called before each retry, with a line that describes the previous failure. */
  onRetry: (line: string) => void;
}

/** Result of an `apply` over all attempts. */
export interface SendApplyResult {
  /** Absent if no control VM returned a definite outcome. */
  response?: ApplyResponse;
  /** Whether an attempt without a definite outcome may have run. */
  mayHaveRun: boolean;
  /** The last failure of each control VM, one line each. */
  problems: string[];
}

const RETRY_DELAY_MS = 250;

/** Status codes after which the request is retried, on another control VM or later. */
const RETRYABLE_STATUS_CODES = new Set([429, 500, 502, 503, 504]);

const parseApplyResponse = (exchange: Exchange): ApplyResponse | undefined => {
  const { outcome } = (exchange.body ?? {}) as { outcome?: unknown };
  const isOutcome = Object.values<unknown>(ApplyOutcome).includes(outcome);
  return isOutcome ? (exchange.body as ApplyResponse) : undefined;
};

const mayHaveRun = (exchange: Exchange): boolean => {
  if (exchange.kind === ExchangeOutcome.NotSent) return false;
  if (exchange.kind === ExchangeOutcome.Lost) return true;
  const { ran } = (exchange.body ?? {}) as { ran?: unknown };
  // A response in an unknown format does not show whether the request ran.
  return ran !== 'no' && ran !== 'yes';
};

const hasDefiniteOutcome = (exchange: Exchange): boolean =>
  exchange.kind === ExchangeOutcome.Answered && !RETRYABLE_STATUS_CODES.has(exchange.status);

const wasAccepted = async (client: OperatorClient, sent: VersionSubmission): Promise<boolean> => {
  const exchanges = await client.get('/v1/history');
  const body = exchanges.at(-1)?.body;
  const history = Array.isArray(body) ? (body as VersionHolder[]) : [];
  return history.some(
    (holder) => holder.version === sent.version && holder.contentHash === sent.contentHash,
  );
};

/**
 * Resolves a STALE response that follows an attempt with unknown outcome. That attempt may have been
 * accepted and superseded since, which only the history of versions shows.
 */
const resolveStale = async (
  client: OperatorClient,
  sent: VersionSubmission,
  response: ApplyResponse,
): Promise<ApplyResponse> => {
  if (!(await wasAccepted(client, sent))) return response;
  const message = `version ${sent.version} was accepted and has since been superseded`;
  return { ...response, outcome: ApplyOutcome.AlreadyAccepted, message };
};

/**
 * Sends a version to the control VMs in turn until one of them returns a definite outcome. Every
 * attempt has the same request id, which makes retries safe.
 *
 * @param client - client of the control VMs
 * @param sent - the version
 * @param options - deadline and clock of the retries
 * @returns the outcome, or the failure of each control VM
 */
export const sendApply = async (
  client: OperatorClient,
  sent: VersionSubmission,
  options: SendApplyOptions,
): Promise<SendApplyResult> => {
  const { controls } = client;
  const problems = new Map<string, string>();
  let isUncertain = false;
  for (let attempt = 0; ; attempt += 1) {
    const control = controls[attempt % controls.length] ?? '';
    const exchange = await client.send(control, {
      method: 'POST',
      path: `/v1/versions/${sent.version}`,
      headers: {
        'content-type': 'text/csv; charset=utf-8',
        'foxtailvane-request-id': sent.requestId,
        'foxtailvane-operator': sent.operator,
      },
      body: sent.sheet,
    });
    const response = parseApplyResponse(exchange);
    if (hasDefiniteOutcome(exchange)) {
      if (!response) {
        return { mayHaveRun: isUncertain, problems: [describeExchange(exchange)] };
      }
      const isAmbiguous = isUncertain && response.outcome === ApplyOutcome.Stale;
      const resolved = isAmbiguous ? await resolveStale(client, sent, response) : response;
      return { response: resolved, mayHaveRun: false, problems: [] };
    }
    isUncertain ||= mayHaveRun(exchange);
    const problem = describeExchange(exchange);
    problems.set(control, problem);
    const isRoundOver = (attempt + 1) % controls.length === 0;
    if (isRoundOver && options.nowMs() >= options.deadlineMs) {
      return { mayHaveRun: isUncertain, problems: [...problems.values()] };
    }
    options.onRetry(`${problem}; trying again with request id ${sent.requestId}`);
    if (isRoundOver) await sleep(RETRY_DELAY_MS);
  }
};
