import { IdempotencyErrorCode } from '../idempotency/index.js';
import { RefusalReason, RequestOutcome, createNotRunRefusal } from './writeRefusal.js';

import type { IdempotencyError } from '../idempotency/index.js';
import type { Refusal } from './writeRefusal.js';

const CONFLICT = 409;
const UNPROCESSABLE_CONTENT = 422;

/**
 * Converts an idempotency error to the refusal that the caller receives.
 *
 * The outcome of a repeat is unknown if the first request may have run: after "not-run", the caller
 * could place the order again under a new key.
 *
 * @param error - error of the idempotency guard
 * @returns the refusal
 */
const createKeyRefusal = ({ code, message }: IdempotencyError): Refusal => {
  const createConflict = (reason: RefusalReason): Refusal => ({
    statusCode: CONFLICT,
    outcome: RequestOutcome.Unknown,
    reason,
    message,
  });
  switch (code) {
    case IdempotencyErrorCode.InUse:
      return createConflict(RefusalReason.KeyInUse);
    case IdempotencyErrorCode.ResponseNotKept:
      return createConflict(RefusalReason.KeyUnknown);
    case IdempotencyErrorCode.Mismatch:
      return createNotRunRefusal(RefusalReason.KeyMismatch, message, {
        statusCode: UNPROCESSABLE_CONTENT,
      });
    case IdempotencyErrorCode.StoreFull:
      return createNotRunRefusal(RefusalReason.KeyStoreFull, message);
    case IdempotencyErrorCode.HolderUnreachable:
      return createNotRunRefusal(RefusalReason.KeyHolderUnreachable, message);
    default:
      return createNotRunRefusal(RefusalReason.KeyHoldersIncomplete, message);
  }
};

export default createKeyRefusal;
