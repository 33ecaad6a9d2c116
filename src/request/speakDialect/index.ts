/** Dialects of headers and refusals for callers and backend servers. */
export { default as OwnDialect } from './OwnDialect.js';
export { AnswerVerdict, TrafficDialect } from './TrafficDialect.js';
export type { CallerFacts, RefusalOptions, ServerFacts } from './TrafficDialect.js';
