/** Measurements of a finished request. */
export interface LimiterSample {
  /** Mean latency of the route relative to that of all requests; makes route mixes comparable. */
  relativeCost: number;
  /** Requests at the server when this one was sent, itself included. */
  inFlight: number;
  /** Whether the server shed the request or did not respond in time. */
  isOverload: boolean;
  /** Whether the server answered with a failure, whose time says little of the cost. */
  isFailure?: boolean;
}

/** Limits the concurrent requests of one server, at most to its announced slots. */
export abstract class ConcurrencyLimiter {
  /** Number of concurrent requests allowed; at least 1. */
  abstract readonly limit: number;

  /** Sets the announced slots. */
  abstract setSlots(slots: number): void;

  /**
   * Adds the measurements of a finished request.
   *
   * @param sample - measurements of the request
   * @param nowMs - present time in milliseconds since the epoch
   */
  abstract add(sample: LimiterSample, nowMs: number): void;
}
