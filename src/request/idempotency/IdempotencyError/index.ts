/** Why a request with an Idempotency-Key must not run. */
export enum IdempotencyErrorCode {
  /** Another request holds the key and is running, or its end is unknown. */
  InUse = 'IN_USE',
  /** The first request finished, but its response was too large to keep. */
  ResponseNotKept = 'RESPONSE_NOT_KEPT',
  /** The first request with the key had another body. */
  Mismatch = 'MISMATCH',
  /** No holder would surely know of an earlier request. */
  HoldersCold = 'HOLDERS_COLD',
  HolderUnreachable = 'HOLDER_UNREACHABLE',
  StoreFull = 'STORE_FULL',
}

const MESSAGES: Record<IdempotencyErrorCode, string> = {
  [IdempotencyErrorCode.InUse]:
    'a request with this Idempotency-Key is running, or its outcome is unknown',
  [IdempotencyErrorCode.ResponseNotKept]:
    'a request with this Idempotency-Key ran; its response was too large to keep',
  [IdempotencyErrorCode.Mismatch]: 'this Idempotency-Key was used with another request body',
  [IdempotencyErrorCode.HoldersCold]:
    'no node of this data centre would surely know of an earlier request with this key',
  [IdempotencyErrorCode.HolderUnreachable]: 'a node that holds this key cannot be reached',
  [IdempotencyErrorCode.StoreFull]: 'a node that holds this key holds no more keys',
};

/** A keyed request that did not run. */
export class IdempotencyError extends Error {
  override readonly name = 'IdempotencyError';

  /** @param code - reason; the message follows from it */
  constructor(readonly code: IdempotencyErrorCode) {
    super(MESSAGES[code]);
  }
}
