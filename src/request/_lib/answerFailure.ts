import { CallErrorCode } from '../../connection/CallError/index.js';
import {
  RefusalReason,
  createNotRunRefusal,
  createUnknownRefusal,
  writeRefusal,
} from './writeRefusal.js';

import type { CallError } from '../../connection/CallError/index.js';
import type { Exchange } from './Exchange.js';
import type { Refusal } from './writeRefusal.js';

const GATEWAY_TIMEOUT = 504;

const createCancelledRefusal = (exchange: Exchange, error: CallError | undefined): Refusal => {
  if (error?.options.isWritten) {
    return createUnknownRefusal(
      RefusalReason.DeadlinePassed,
      'no complete response before the deadline',
      { statusCode: GATEWAY_TIMEOUT },
    );
  }
  const message = exchange.isPastDeadline
    ? 'the deadline passed before the request was sent'
    : 'the request was cancelled before it was sent';
  return createNotRunRefusal(RefusalReason.DeadlinePassed, message);
};

/**
 * Converts the failure of a call to the refusal that the caller receives.
 *
 * @param exchange - request and response
 * @param error - error of the last call; undefined when nothing was sent
 * @returns the refusal
 */
export const createFailureRefusal = (exchange: Exchange, error: CallError | undefined): Refusal => {
  switch (error?.code) {
    case CallErrorCode.NotWritten:
      return createNotRunRefusal(RefusalReason.NotConnected, error.message);
    case CallErrorCode.Refused:
      return createNotRunRefusal(
        error.options.isServerRefusal ? RefusalReason.ServerRefused : RefusalReason.NoSlot,
        error.message,
        { retryAfterMs: error.options.retryAfterMs },
      );
    case CallErrorCode.Shed:
    case CallErrorCode.NoResponse:
      return createUnknownRefusal(RefusalReason.NoResponse, error.message);
    case CallErrorCode.TimedOut:
      return createUnknownRefusal(RefusalReason.DeadlinePassed, error.message, {
        statusCode: GATEWAY_TIMEOUT,
      });
    case CallErrorCode.Truncated:
      return createUnknownRefusal(RefusalReason.Truncated, error.message);
    default:
      return createCancelledRefusal(exchange, error);
  }
};

/**
 * Answers a request whose last call failed; closes the connection if a response was started or the
 * caller disconnected.
 *
 * @param exchange - request and response
 * @param error - error of the last call; undefined when nothing was sent
 * @param write - writes the refusal; by default in the format between nodes
 * @returns the refusal, or undefined when the connection was closed instead
 */
export const answerFailure = (
  exchange: Exchange,
  error: CallError | undefined,
  write: (refusal: Refusal) => void = (refusal) =>
    writeRefusal(exchange.response, refusal, { closesConnection: exchange.hasUnreadBody }),
): Refusal | undefined => {
  if (exchange.response.headersSent || exchange.isCallerGone) {
    exchange.destroy();
    return undefined;
  }
  const refusal = createFailureRefusal(exchange, error);
  write(refusal);
  return refusal;
};
