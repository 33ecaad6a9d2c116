/** The headers and refusals that callers and backend servers understand. */
export { default as OwnDialect } from './OwnDialect.js';
export { HttpDialect, ResponseKind } from './HttpDialect.js';
export { default as readCredential } from './readCredential.js';
export type { CallerMetadata, RefusalOptions, ServerMetadata } from './HttpDialect.js';
