/**
 * Returns the time in milliseconds since the epoch as of process start, advanced by the monotonic
 * clock. Leases are compared in this time, since a step of the wall clock must not extend one. Whole
 * milliseconds, because messages carry times as integers: a fraction ended every exchange stream
 * between control VMs as soon as a node attached.
 */
const readMonotonicNowMs = (): number => Math.floor(performance.timeOrigin + performance.now());

export default readMonotonicNowMs;
