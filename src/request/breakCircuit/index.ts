/** Circuit breakers per server, based on the requests of this node. */
export { CircuitBreaker, CircuitState } from './CircuitBreaker.js';
export { default as ConsecutiveFailureBreaker } from './ConsecutiveFailureBreaker.js';
export { default as FailureRateBreaker } from './FailureRateBreaker.js';
