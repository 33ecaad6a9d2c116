/**
 * Returns the wall-clock time at process start, in milliseconds since the epoch, advanced by the
 * monotonic clock. Leases use this time, because a step of the wall clock must not extend one. The
 * result is rounded down to whole milliseconds, because messages carry times as integers: a
 * fraction ended every exchange stream between control VMs as soon as a node attached.
 */
const readMonotonicNowMs = (): number => Math.floor(performance.timeOrigin + performance.now());

export default readMonotonicNowMs;
