/**
 * Returns the time in milliseconds since the epoch as of process start, advanced by the monotonic
 * clock. Leases are compared in this time, since a step of the wall clock must not extend one.
 */
const readMonotonicNowMs = (): number => performance.timeOrigin + performance.now();

export default readMonotonicNowMs;
