/** Why a request with an Idempotency-Key must not run. */
export enum IdempotencyErrorCode {
  /** Another request with the key is running, or its outcome is unknown. */
  InUse = 'IN_USE',
  /** The first request with the key finished, but its response was too large to keep. */
  ResponseNotKept = 'RESPONSE_NOT_KEPT',
  /** The first request with the key had another body. */
  Mismatch = 'MISMATCH',
  /** No holder has the records of the whole retention window. */
  HoldersIncomplete = 'HOLDERS_COLD',
  HolderUnreachable = 'HOLDER_UNREACHABLE',
  StoreFull = 'STORE_FULL',
}

const MESSAGES: Record<IdempotencyErrorCode, string> = {
  [IdempotencyErrorCode.InUse]:
    'a request with this Idempotency-Key is running, or its outcome is unknown',
  [IdempotencyErrorCode.ResponseNotKept]:
    'a request with this Idempotency-Key ran; its response was too large to keep',
  [IdempotencyErrorCode.Mismatch]: 'this Idempotency-Key was used with another request body',
  [IdempotencyErrorCode.HoldersIncomplete]:
    'no node of this data centre has complete records of earlier requests with this key',
  [IdempotencyErrorCode.HolderUnreachable]:
    'a node that stores the record of this key cannot be reached',
  [IdempotencyErrorCode.StoreFull]:
    'a node that stores the record of this key has reached its limit of keys',
};

/** A request with an Idempotency-Key that did not run. */
export class IdempotencyError extends Error {
  override readonly name = 'IdempotencyError';

  /** @param code - reason, which determines the message */
  constructor(readonly code: IdempotencyErrorCode) {
    super(MESSAGES[code]);
  }
}
