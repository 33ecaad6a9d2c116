/** A finished request, as a limiter sees it. */
export interface LimiterSample {
  /** Mean latency of the route divided by that of all requests, so that any mix compares. */
  relativeCost: number;
  /** Requests at the server when this one was sent, itself included. */
  inFlight: number;
  /** The server shed the request or did not respond in time. */
  isOverload: boolean;
}

/** Bounds the concurrent requests of one server, at most to its announced slots. */
export abstract class ConcurrencyLimiter {
  /** Concurrent requests allowed now; at least 1. */
  abstract readonly limit: number;

  /** Takes over a changed announcement. */
  abstract setSlots(slots: number): void;

  /**
   * Learns from a finished request.
   *
   * @param sample - the request
   * @param nowMs - present time in milliseconds since the epoch
   */
  abstract add(sample: LimiterSample, nowMs: number): void;
}
