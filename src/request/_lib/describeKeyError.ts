import { IdempotencyErrorCode } from '../idempotency/index.js';
import { RefusalReason, RequestOutcome, createNotRun } from './writeRefusal.js';

import type { IdempotencyError } from '../idempotency/index.js';
import type { Refusal } from './writeRefusal.js';

const CONFLICT = 409;
const UNPROCESSABLE_CONTENT = 422;

/**
 * Describes to the caller why a keyed request must not run.
 *
 * A repeat whose first request may have run is answered as unknown: "not run" would invite the
 * caller to place the order again under a new key.
 */
const describeKeyError = ({ code, message }: IdempotencyError): Refusal => {
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
      return createNotRun(RefusalReason.KeyMismatch, message, {
        statusCode: UNPROCESSABLE_CONTENT,
      });
    case IdempotencyErrorCode.StoreFull:
      return createNotRun(RefusalReason.KeyStoreFull, message);
    case IdempotencyErrorCode.HolderUnreachable:
      return createNotRun(RefusalReason.KeyHolderUnreachable, message);
    default:
      return createNotRun(RefusalReason.KeyHoldersCold, message);
  }
};

export default describeKeyError;
