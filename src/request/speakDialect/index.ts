/** The headers and refusals that callers and backend servers understand. */
export { default as OwnDialect } from './OwnDialect.js';
export { AnswerVerdict, TrafficDialect } from './TrafficDialect.js';
export type { CallerFacts, RefusalOptions, ServerFacts } from './TrafficDialect.js';
