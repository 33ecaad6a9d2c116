/** Latency objectives of requests, measured from the first attempt of the caller. */
import type { Route } from '../../_generated/foxtailvane/v1/configuration_pb.js';

/** Number of routes that are tracked; beyond it the state of all routes is reset. */
const MAX_ROUTES = 4_096;
/** Remaining time below the longest of the route from which on a request counts as a retry. */
const MIN_RETRY_SHORTFALL_MS = 15;
/** Smallest share of the target latency that a request gets, however short its remaining time. */
const MIN_TARGET_SHARE = 0.25;

/** Latency objective of one request. */
export interface Objective {
  /** Time by which the response is due, in milliseconds; undefined without a target latency. */
  endsAtMs: number | undefined;
  /** Whether the request is probably the caller's retry after a refusal. */
  isReturn: boolean;
}

/**
 * Estimates the latency objective of requests.
 *
 * A caller that retries after a refusal has less remaining time than at first, while its objective
 * counts from the first attempt. The difference to the longest remaining time seen on the route is
 * the time that has passed since.
 */
export default class ObjectiveEstimator {
  readonly #longestMsByRoute = new Map<string, number>();

  /**
   * Returns the objective of a request.
   *
   * @param route - route of the request
   * @param remainingMs - time until the caller's deadline
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
