/** Latency of each route at one server, to distinguish slow routes from quick ones. */

/** Weight of the newest sample once there are enough samples. */
const SAMPLE_WEIGHT = 0.05;
/** Growth of the floor with each sample, so that it follows a lasting change. */
const FLOOR_GROWTH = 1.002;
/** A route is slow if its floor exceeds that of another route by this factor. */
const SLOW_FACTOR = 4;
/** Mean latency below which requests hold a slot too briefly to starve others. */
const MIN_SLOW_MEAN_MS = 20;
const MIN_SAMPLES = 5;
/** Weight of the newest sample in the mean over all routes. */
const OVERALL_SAMPLE_WEIGHT = 0.01;
/** Number of routes that are tracked, which bounds the memory; further routes count as unknown. */
const MAX_ROUTES = 512;
const MIN_LATENCY_MS = 0.01;

/** Latency of one route. */
export interface RouteLatency {
  meanMs: number;
  /** Lowest recent level of the mean, which excludes queueing inside the server. */
  floorMs: number;
  sampleCount: number;
}

export class RouteLatencies {
  #overallMeanMs = 0;

  readonly #byRoute = new Map<string, RouteLatency>();

  /** Returns the latency of a route; undefined before its first sample. */
  get(routeName: string): RouteLatency | undefined {
    return this.#byRoute.get(routeName);
  }

  /**
   * Adds one sample.
   *
   * @param routeName - route of the request
   * @param latencyMs - response time of the server
   */
  add(routeName: string, latencyMs: number): void {
    const sampleMs = Math.max(MIN_LATENCY_MS, latencyMs);
    this.#overallMeanMs +=
      (this.#overallMeanMs === 0 ? 1 : OVERALL_SAMPLE_WEIGHT) * (sampleMs - this.#overallMeanMs);
    const known = this.#byRoute.get(routeName);
    if (!known) {
      const name = this.#byRoute.size < MAX_ROUTES ? routeName : '';
      this.#byRoute.set(name, { meanMs: sampleMs, floorMs: sampleMs, sampleCount: 1 });
      return;
    }
    known.sampleCount += 1;
    const weight = Math.max(SAMPLE_WEIGHT, 1 / known.sampleCount);
    known.meanMs += weight * (sampleMs - known.meanMs);
    known.floorMs =
      known.sampleCount <= 1 / SAMPLE_WEIGHT
        ? known.meanMs
        : Math.min(known.floorMs * FLOOR_GROWTH, known.meanMs);
  }

  /** Returns the mean latency of a route relative to that of all requests; 1 when unknown. */
  getRelativeCost(routeName: string): number {
    const route = this.#byRoute.get(routeName);
    return route ? route.meanMs / this.#overallMeanMs : 1;
  }

  /**
   * Returns whether requests of a route take much longer than those of the quickest route.
   *
   * @param routeName - route of the request
   */
  isSlow(routeName: string): boolean {
    const route = this.#byRoute.get(routeName);
    if (!route || route.sampleCount < MIN_SAMPLES || route.meanMs < MIN_SLOW_MEAN_MS) {
      return false;
    }
    return this.#someFloor((otherMs) => route.floorMs > otherMs * SLOW_FACTOR);
  }

  /**
   * Returns whether requests of a route are brief: another route takes several times as long.
   *
   * @param routeName - route of the request
   */
  isBrief(routeName: string): boolean {
    const route = this.#byRoute.get(routeName);
    if (!route || route.sampleCount < MIN_SAMPLES) return false;
    return this.#someFloor((otherMs) => otherMs > route.floorMs * SLOW_FACTOR);
  }

  /** Returns whether the floor of any route with enough samples satisfies a condition. */
  #someFloor(isMet: (floorMs: number) => boolean): boolean {
    return [...this.#byRoute.values()].some(
      ({ sampleCount, floorMs }) => sampleCount >= MIN_SAMPLES && isMet(floorMs),
    );
  }
}
