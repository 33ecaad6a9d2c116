import type { Result } from 'neverthrow';
import { CallErrorCode } from '../../connection/CallError/index.js';

import type { CallError } from '../../connection/CallError/index.js';
import type { CallSummary } from '../../connection/UpstreamCall/index.js';
import type { CircuitBreaker } from '../breakCircuit/index.js';
import type { ServerObservations } from '../observeServers/index.js';
import type { Attempt } from './ServerCaller.js';

const FIRST_SERVER_ERROR = 500;

/** State that is updated from the outcome of each attempt. */
export interface Learners {
  observations: ServerObservations;
  breaker: CircuitBreaker;
}

const learnFromError = (
  attempt: Attempt,
  error: CallError,
  learners: Learners,
  nowMs: number,
): void => {
  const { breaker } = learners;
  const { key, observation, routed } = attempt;
  const isTimeout = routed.exchange.isPastDeadline && error.options.isWritten;
  if (error.options.isServerRefusal) {
    breaker.addFailure(key, nowMs);
  } else if (error.code === CallErrorCode.Refused) {
    observation.lastRefusalAtMs = nowMs;
    breaker.addUndecided(key);
  } else if (error.code === CallErrorCode.Cancelled && !isTimeout) {
    breaker.addUndecided(key);
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
 * @param learners - server observations and circuit breaker
 * @param nowMs - current time in milliseconds since the epoch
 */
export const learnOutcome = (
  attempt: Attempt,
  result: Result<CallSummary, CallError>,
  learners: Learners,
  nowMs: number,
): void => {
  if (result.isErr()) {
    learnFromError(attempt, result.error, learners, nowMs);
    return;
  }
  const { key, observation, routed } = attempt;
  const { statusCode, upstreamMs } = result.value;
  if (statusCode >= FIRST_SERVER_ERROR) {
    learners.breaker.addFailure(key, nowMs);
    return;
  }
  learners.breaker.addSuccess(key, nowMs);
  learners.observations.addLatency(observation, routed.route.name, upstreamMs, nowMs);
};
