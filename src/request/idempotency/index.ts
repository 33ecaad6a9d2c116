/** At-most-once execution of requests with an Idempotency-Key. */
export { RecordCompleteness } from './RecordCompleteness/index.js';
export { IdempotencyError, IdempotencyErrorCode } from './IdempotencyError/index.js';
export { IdempotencyGuard } from './IdempotencyGuard/index.js';
export { IdempotencyStore } from './IdempotencyStore/index.js';
export { createIdempotencyRoutes } from './createIdempotencyRoutes/index.js';
export type { IdempotencyRoutesOptions } from './createIdempotencyRoutes/index.js';
export type { Reservation } from './IdempotencyGuard/index.js';
