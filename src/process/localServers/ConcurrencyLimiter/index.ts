/** Limiters of the concurrent requests of a server. */
export { default as AdaptiveLimiter } from './AdaptiveLimiter.js';
export { ConcurrencyLimiter } from './ConcurrencyLimiter.js';
export { default as FixedLimiter } from './FixedLimiter.js';
export type { LimiterSample } from './ConcurrencyLimiter.js';
