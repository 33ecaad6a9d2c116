/** Weighted selection among the target services of a route. */
import type { Route, RouteTarget } from '../../_generated/foxtailvane/v1/configuration_pb.js';

/** Number of routes whose credits are kept; beyond it the credits of all routes are reset. */
const MAX_ROUTES = 4_096;

const getWeight = (route: Route, target: RouteTarget): number =>
  route.hasRelativeWeights ? target.relativeWeight : target.weightPercent;

/** Credits of the targets of one route, by service; the target with the most credits is next. */
type Credits = Map<string, number>;

/**
 * Smooth weighted round robin: each target gets its share of any few hundred requests. Over that
 * number, random selection misses a share by several per cent.
 *
 * @example
 * const service = new TrafficSplit().next(route);
 */
export default class TrafficSplit {
  readonly #creditsByRoute = new Map<string, Credits>();

  readonly #random: () => number;

  /** @param random - uniform in [0, 1); offsets the initial credits, so that nodes do not align */
  constructor(random: () => number) {
    this.#random = random;
  }

  /**
   * Selects the service for the next request of a route.
   *
   * @param route - route with weights in percent or relative to each other
   * @returns the service; undefined when no target has a weight above 0
   */
  next(route: Route): string | undefined {
    const weighted = route.targets.filter((target) => getWeight(route, target) > 0);
    if (weighted.length <= 1) return weighted[0]?.service;
    const credits = this.#getCredits(route, weighted);
    const total = weighted.reduce((sum, target) => sum + getWeight(route, target), 0);
    weighted.forEach((target) => {
      const credit = credits.get(target.service) ?? 0;
      credits.set(target.service, credit + getWeight(route, target) / total);
    });
    const chosen = weighted.reduce((best, target) =>
      (credits.get(target.service) ?? 0) > (credits.get(best.service) ?? 0) ? target : best,
    );
    credits.set(chosen.service, (credits.get(chosen.service) ?? 0) - 1);
    return chosen.service;
  }

  #getCredits(route: Route, weighted: RouteTarget[]): Credits {
    const known = this.#creditsByRoute.get(route.name);
    if (known) return known;
    if (this.#creditsByRoute.size >= MAX_ROUTES) this.#creditsByRoute.clear();
    const created: Credits = new Map(weighted.map(({ service }) => [service, this.#random() / 2]));
    this.#creditsByRoute.set(route.name, created);
    return created;
  }
}
