/** Circuit state of each server, from this node's own observations. */
export { CircuitBreaker, CircuitState } from './CircuitBreaker.js';
export { default as ConsecutiveFailureBreaker } from './ConsecutiveFailureBreaker.js';
export { default as FailureRateBreaker } from './FailureRateBreaker.js';
