import type { Result } from 'neverthrow';
import { CallErrorCode } from '../../connection/CallError/index.js';

import type { CallError } from '../../connection/CallError/index.js';
import type { CallSummary } from '../../connection/UpstreamCall/index.js';
import type { CircuitBreaker } from '../breakCircuit/index.js';
import type { ServerObservations } from '../observeServers/index.js';
import type { Attempt } from './ServerCaller.js';

const FIRST_SERVER_ERROR = 500;

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
    breaker.addInconclusive(key);
  } else if (error.code === CallErrorCode.Cancelled && !isTimeout) {
    breaker.addInconclusive(key);
  } else {
    breaker.addFailure(key, nowMs);
  }
};

/**
 * Updates what this node knows of a server from the end of an attempt.
 *
 * A quick error says nothing good about latency, or a broken server would attract all requests.
 *
 * @param attempt - the attempt
 * @param result - how it ended
 * @param learners - observations and circuits
 * @param nowMs - present time in milliseconds since the epoch
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
