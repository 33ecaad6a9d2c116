import type { Result } from 'neverthrow';
import { CallErrorCode } from '../../connection/CallError/index.js';

import type { CallError } from '../../connection/CallError/index.js';
import type { CallSummary } from '../../connection/UpstreamCall/index.js';
import type { CircuitBreaker } from '../breakCircuit/index.js';
import type { ServerObservations } from '../observeServers/index.js';
import type { Attempt } from './ServerCaller.js';

const FIRST_SERVER_ERROR = 500;

/** State that is updated from the outcome of each attempt. */
export interface OutcomeRecorders {
  observations: ServerObservations;
  breaker: CircuitBreaker;
}

const recordError = (
  attempt: Attempt,
  error: CallError,
  recorders: OutcomeRecorders,
  nowMs: number,
): void => {
  const { breaker } = recorders;
  const { key, observation, routed } = attempt;
  const isTimeout = routed.exchange.isPastDeadline && error.options.isWritten;
  if (error.options.isServerRefusal) {
    breaker.addFailure(key, nowMs);
  } else if (error.code === CallErrorCode.Refused) {
    observation.lastRefusalAtMs = nowMs;
    breaker.addInconclusive(key);
  } else if (error.code === CallErrorCode.Cancelled && !isTimeout) {
    breaker.addInconclusive(key);
  } else {
    breaker.addFailure(key, nowMs);
  }
};

/**
 * Updates the observations and the circuit breaker of a server from the outcome of an attempt.
 *
 * Errors add no latency sample: a server that fails fast would otherwise attract all requests.
 *
 * @param attempt - the finished attempt
 * @param result - its result
 * @param recorders - server observations and circuit breaker
 * @param nowMs - current time in milliseconds since the epoch
 */
export const recordOutcome = (
  attempt: Attempt,
  result: Result<CallSummary, CallError>,
  recorders: OutcomeRecorders,
  nowMs: number,
): void => {
  if (result.isErr()) {
    recordError(attempt, result.error, recorders, nowMs);
    return;
  }
  const { key, observation, routed } = attempt;
  const { statusCode, upstreamMs } = result.value;
  if (statusCode >= FIRST_SERVER_ERROR) {
    recorders.breaker.addFailure(key, nowMs);
    return;
  }
  recorders.breaker.addSuccess(key, nowMs);
  recorders.observations.addLatency(observation, routed.route.name, upstreamMs, nowMs);
};
