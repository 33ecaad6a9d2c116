/** The time up to which a response is of full use to a caller, over its repeats of a request. */
import type { Route } from '../../_generated/foxtailvane/v1/configuration_pb.js';

/** Routes that are remembered; the oldest ones are dropped beyond it. */
const MAX_ROUTES = 4_096;
/** A caller that states this much less time than others on the route has asked before. */
const MIN_RETRY_SHORTFALL_MS = 15;
/** Share of the objective that a request keeps however little time its caller states. */
const MIN_TARGET_SHARE = 0.25;

/** Up to when a response is of full use. */
export interface Objective {
  /** In milliseconds; undefined when the route has no target latency. */
  endsAtMs: number | undefined;
  /** Whether the caller has probably asked before and was refused. */
  isReturn: boolean;
}

/**
 * A caller that comes back after a refusal states less remaining time than at first, while its
 * objective still counts from its first attempt. The longest remaining time seen on a route tells how
 * much of it has passed.
 */
export default class ObjectiveEstimator {
  readonly #longestMsByRoute = new Map<string, number>();

  /**
   * Returns the objective of a request.
   *
   * @param route - its route
   * @param remainingMs - time for which the caller still waits
   * @param nowMs - present time in milliseconds
   */
  estimate(route: Route, remainingMs: number, nowMs: number): Objective {
    const { name, targetLatencyMs } = route;
    if (targetLatencyMs === 0) return { endsAtMs: undefined, isReturn: false };
    const longestMs = Math.max(remainingMs, this.#longestMsByRoute.get(name) ?? 0);
    if (this.#longestMsByRoute.size >= MAX_ROUTES) this.#longestMsByRoute.clear();
    this.#longestMsByRoute.set(name, longestMs);
    const shortfallMs = longestMs - remainingMs;
    const leftMs = Math.max(targetLatencyMs * MIN_TARGET_SHARE, targetLatencyMs - shortfallMs);
    return { endsAtMs: nowMs + leftMs, isReturn: shortfallMs > MIN_RETRY_SHORTFALL_MS };
  }
}
