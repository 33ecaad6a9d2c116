/** Expected cost of the requests of each route, on a server of mean speed. */
import CostDistribution from '../CostDistribution/index.js';

/** Bounds the memory: a distribution takes about 1 KB. */
const MAX_ROUTES = 256;
/**
 * Answers of other servers from which on the mean of a route stands for the service; a node with a few
 * requests a second has them within a second, and the agreement with others makes up for the few.
 */
const MIN_ANSWERS = 4;
/** Answers that a mean of the answering node counts for while this node knows less. */
const AGREED_ANSWERS = 2;
/** Weight of the mean of the answering node: nodes have to agree, or their paces can't be compared. */
const AGREEMENT_WEIGHT = 0.15;
/** Weight of the newest answer in the mean over the servers of a service. */
const ANSWER_WEIGHT = 0.03;

interface RouteCost {
  readonly distribution: CostDistribution;
  /** Mean over the answers of all servers, in milliseconds. */
  answeredMeanMs: number;
  answerCount: number;
}

/**
 * Learns what requests cost on a server of mean speed.
 *
 * As an entry node, this node sees the answers of all servers of a service and so their mean; the node
 * beside a server sees all requests of that server and so the distribution. Each is scaled by the
 * server's pace, so that a slow server is not taken for costly requests.
 */
export default class RouteCosts {
  readonly #byRoute = new Map<string, RouteCost>();

  /**
   * Adds the cost of a request that a server answered, as its node measured it.
   *
   * @param routeName - route of the request
   * @param heldMs - time for which it held a slot, in milliseconds
   * @param peerMeanMs - mean over all servers that the server's node knows; 0 when it knows none
   */
  addAnswer(routeName: string, heldMs: number, peerMeanMs = 0): void {
    const cost = this.#get(routeName);
    cost.answerCount += 1;
    const weight = Math.max(ANSWER_WEIGHT, 1 / cost.answerCount);
    cost.answeredMeanMs += weight * (heldMs - cost.answeredMeanMs);
    if (peerMeanMs === 0) return;
    cost.answerCount += AGREED_ANSWERS;
    const agreement = Math.max(AGREEMENT_WEIGHT, AGREED_ANSWERS / cost.answerCount);
    cost.answeredMeanMs += agreement * (peerMeanMs - cost.answeredMeanMs);
  }

  /**
   * Adds the cost of a request that ran beside this node.
   *
   * @param routeName - route of the request
   * @param costMs - time for which it held a slot, divided by the pace of the server
   */
  addRun(routeName: string, costMs: number): void {
    this.#get(routeName).distribution.add(costMs);
  }

  /** Returns the mean over the servers of a service, in milliseconds; undefined until it is known. */
  getServiceMeanMs(routeName: string): number | undefined {
    const cost = this.#byRoute.get(routeName);
    return cost && cost.answerCount >= MIN_ANSWERS ? cost.answeredMeanMs : undefined;
  }

  /** Returns the expected cost of a request in milliseconds; undefined for an unknown route. */
  getMeanMs(routeName: string): number | undefined {
    const { distribution } = this.#byRoute.get(routeName) ?? {};
    const ownMeanMs =
      distribution && distribution.sampleCount > 0 ? distribution.meanMs : undefined;
    return this.getServiceMeanMs(routeName) ?? ownMeanMs;
  }

  /**
   * Returns the expected rest of a request in progress, in milliseconds; undefined for an unknown
   * route.
   *
   * @param routeName - route of the request
   * @param ageMs - cost so far, in milliseconds on a server of mean speed
   */
  estimateRestMs(routeName: string, ageMs: number): number | undefined {
    const { distribution } = this.#byRoute.get(routeName) ?? {};
    if (distribution && distribution.sampleCount > 0) return distribution.estimateRestMs(ageMs);
    const meanMs = this.getServiceMeanMs(routeName);
    return meanMs === undefined ? undefined : Math.max(meanMs - ageMs, meanMs / 2);
  }

  #get(routeName: string): RouteCost {
    const known = this.#byRoute.get(routeName);
    if (known) return known;
    if (this.#byRoute.size >= MAX_ROUTES) this.#dropRare();
    const created = { distribution: new CostDistribution(), answeredMeanMs: 0, answerCount: 0 };
    this.#byRoute.set(routeName, created);
    return created;
  }

  /** Drops the oldest route with few requests, such as one that is only tested; else the oldest. */
  #dropRare(): void {
    const names = [...this.#byRoute.keys()];
    const rare = names.find((name) => {
      const { distribution, answerCount = 0 } = this.#byRoute.get(name) ?? {};
      return (distribution?.sampleCount ?? 0) + answerCount < MIN_ANSWERS;
    });
    this.#byRoute.delete(rare ?? names[0] ?? '');
  }
}
