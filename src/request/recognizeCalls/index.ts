/** Recognizes the routes on which running requests make calls. */

/** Requests of a route from which on its origins are judged; until then it counts as none of calls. */
const MIN_REQUESTS = 12;
/**
 * Expected number of requests from an origin without which its silence may be chance: with 9 expected
 * and none seen, the odds are one in eight thousand.
 */
const MIN_EXPECTED = 9;
/** Share of the expected requests up to which an origin counts as silent: test requests come from all. */
const SILENT_SHARE = 0.08;
/** Counts are halved beyond this many requests, so that changed routes are recognized anew. */
const MAX_REQUESTS = 600;
/** Routes and origins beyond these numbers are not counted, which bounds the memory. */
const MAX_ROUTES = 256;
const MAX_ORIGINS = 64;
/** Requests after which routes are judged anew; to judge costs more than to count. */
const JUDGE_INTERVAL = 8;

/** Numbers of requests by the service on the VM of their entry node. */
interface OriginCounts {
  total: number;
  readonly byOrigin: Map<string, number>;
}

const createCounts = (): OriginCounts => ({ total: 0, byOrigin: new Map() });

const computeSum = (values: number[]): number => values.reduce((sum, value) => sum + value, 0);

const addRequest = (target: OriginCounts, origin: string): void => {
  const counts = target;
  const { byOrigin } = counts;
  if (!byOrigin.has(origin) && byOrigin.size >= MAX_ORIGINS) return;
  byOrigin.set(origin, (byOrigin.get(origin) ?? 0) + 1);
  counts.total += 1;
  if (counts.total <= MAX_REQUESTS) return;
  byOrigin.forEach((count, name) => byOrigin.set(name, count / 2));
  counts.total /= 2;
};

/** Returns whether the origins of one route make up nearly all requests of another one. */
const covers = (wide: OriginCounts, narrow: OriginCounts): boolean =>
  computeSum(
    [...narrow.byOrigin].map(([origin, count]) => (wide.byOrigin.has(origin) ? count : 0)),
  ) >=
  narrow.total * (1 - SILENT_SHARE);

/** Returns whether an origin of the other route sends far less on this one than it would by chance. */
const hasSilentOrigin = (own: OriginCounts, other: OriginCounts): boolean =>
  [...other.byOrigin].some(([origin, count]) => {
    const expected = own.total * (count / other.total);
    return expected >= MIN_EXPECTED && (own.byOrigin.get(origin) ?? 0) <= expected * SILENT_SHARE;
  });

/**
 * Recognizes calls by their origin: those of a service's running requests enter the mesh only at nodes
 * beside its servers, while callers send from all VMs.
 *
 * A call looks like any other request and comes from the same address as those of the callers on its
 * VM. The node beside the server that runs the calls sees enough of them to tell. Answers load in which
 * calls have to come before new requests, since their parents hold slots until they are answered.
 */
export default class CallRoutes {
  readonly #byRoute = new Map<string, OriginCounts>();

  #sinceJudged = 0;

  /** Routes that were judged lately. */
  readonly #verdicts = new Map<string, boolean>();

  /**
   * Counts one request that arrived at a server beside this node.
   *
   * @param routeName - route of the request
   * @param origin - service on the VM of its entry node; empty when there is none
   */
  record(routeName: string, origin: string): void {
    const known = this.#byRoute.get(routeName);
    if (!known && this.#byRoute.size >= MAX_ROUTES) this.#dropRare();
    const counts = known ?? createCounts();
    if (!known) this.#byRoute.set(routeName, counts);
    addRequest(counts, origin);
    this.#sinceJudged += 1;
    if (this.#sinceJudged < JUDGE_INTERVAL) return;
    this.#sinceJudged = 0;
    this.#verdicts.clear();
  }

  /** Returns whether the requests of a route are calls of running requests. */
  isCallRoute(routeName: string): boolean {
    const known = this.#verdicts.get(routeName);
    if (known !== undefined) return known;
    const verdict = this.#judge(routeName);
    this.#verdicts.set(routeName, verdict);
    return verdict;
  }

  /** Drops the oldest route with few requests, such as one that is only tested; else the oldest. */
  #dropRare(): void {
    const names = [...this.#byRoute.keys()];
    const rare = names.find((name) => (this.#byRoute.get(name)?.total ?? 0) < MIN_REQUESTS);
    this.#byRoute.delete(rare ?? names[0] ?? '');
  }

  /** A route is one of calls if another one has its origins and one more that does not send on it. */
  #judge(routeName: string): boolean {
    const own = this.#byRoute.get(routeName);
    if (!own || own.total < MIN_REQUESTS) return false;
    return [...this.#byRoute.values()]
      .filter((other) => other !== own && other.total >= MIN_REQUESTS && covers(other, own))
      .some((other) => hasSilentOrigin(own, other));
  }
}
