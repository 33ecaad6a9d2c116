/** The headers and refusals that callers and backend servers understand. */
export { default as OwnDialect } from './OwnDialect.js';
export { ResponseKind as ResponseKind, HttpDialect as HttpDialect } from './HttpDialect.js';
export type {
  CallerMetadata as CallerMetadata,
  RefusalOptions,
  ServerMetadata as ServerMetadata,
} from './HttpDialect.js';
