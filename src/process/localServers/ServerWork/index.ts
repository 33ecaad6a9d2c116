/** Work in progress at one server: what it still has to do, and how fast it is. */
import type { SlotDemand } from '../AdmissionPolicy/index.js';
import type RouteCosts from '../RouteCosts/index.js';

/** Decay of the pace with each finished request: about the last 30 of them count. */
const PACE_DECAY = 0.97;
/** Weight, in finished requests, with which a server is taken for one of mean speed at first. */
const PRIOR_WEIGHT = 4;
/** Cost of a request of an unknown route, in milliseconds. */
const DEFAULT_COST_MS = 100;
/** Finished requests of known mean from which on the pace is known. */
const MIN_FINISHED = 10;
const MIN_PACE = 0.1;
const MAX_PACE = 20;

const computeSum = (values: number[]): number => values.reduce((sum, value) => sum + value, 0);

/**
 * Tracks the requests in progress at one server, and its pace: the time that it takes for requests
 * relative to the mean of its service.
 *
 * Answers load on servers of unequal speed, and servers that turn slow: a request that has run for
 * longer than expected counts before it has ended.
 */
export default class ServerWork {
  readonly #costs: RouteCosts;

  readonly #startsByDemand = new Map<SlotDemand, number>();

  /** Decaying sums over the finished requests, in milliseconds. */
  #heldMs = 0;

  #expectedMs = 0;

  #finishedCount = 0;

  constructor(costs: RouteCosts) {
    this.#costs = costs;
  }

  /**
   * Records that a request got a slot.
   *
   * @param demand - the request, by identity
   * @param nowMs - present time in milliseconds
   */
  start(demand: SlotDemand, nowMs: number): void {
    this.#startsByDemand.set(demand, nowMs);
  }

  /**
   * Records that a request released its slot.
   *
   * @param demand - the request, by identity
   * @param heldMs - time for which it held the slot, in milliseconds
   * @param isComplete - whether the server answered it; the time of any other says little of its cost
   */
  end(demand: SlotDemand, heldMs: number, isComplete: boolean): void {
    this.#startsByDemand.delete(demand);
    const { routeName } = demand;
    if (!isComplete || routeName === undefined) return;
    this.#costs.addRun(routeName, heldMs / this.#getFinishedPace());
    const meanMs = this.#costs.getServiceMeanMs(routeName);
    if (meanMs === undefined) return;
    this.#finishedCount += 1;
    this.#heldMs = this.#heldMs * PACE_DECAY + heldMs;
    this.#expectedMs = this.#expectedMs * PACE_DECAY + meanMs;
  }

  /** Whether the server has finished enough requests to tell its pace. */
  get isPaceKnown(): boolean {
    return this.#finishedCount >= MIN_FINISHED;
  }

  /**
   * Returns the pace of the server: 1 is the mean of its service, 2 takes twice as long.
   *
   * @param nowMs - present time in milliseconds
   */
  estimatePace(nowMs: number): number {
    const overdue = [...this.#startsByDemand].flatMap(([{ routeName }, startedAtMs]) => {
      const meanMs = routeName === undefined ? undefined : this.#costs.getServiceMeanMs(routeName);
      const ageMs = nowMs - startedAtMs;
      return meanMs !== undefined && ageMs > meanMs ? [{ ageMs, meanMs }] : [];
    });
    const heldMs = this.#heldMs + computeSum(overdue.map(({ ageMs }) => ageMs));
    const expectedMs = this.#expectedMs + computeSum(overdue.map(({ meanMs }) => meanMs));
    return Math.max(this.#getFinishedPace(), this.#computePace(heldMs, expectedMs));
  }

  /**
   * Estimates the time until a slot is free for a request, in milliseconds.
   *
   * @param ahead - requests that wait for a slot before it
   * @param capacity - number of slots
   * @param nowMs - present time in milliseconds
   */
  estimateWaitMs(ahead: readonly SlotDemand[], capacity: number, nowMs: number): number {
    const pace = this.#getFinishedPace();
    const idle = capacity - this.#startsByDemand.size;
    if (idle > ahead.length) return 0;
    const aheadMs = computeSum(
      ahead.map(({ routeName = '' }) => this.#costs.getMeanMs(routeName) ?? DEFAULT_COST_MS),
    );
    if (idle > 0) return (aheadMs * pace) / capacity;
    // Ends of requests with these rests follow each other at the sum of their rates.
    const endsPerMs = computeSum(
      [...this.#startsByDemand].map(([{ routeName = '' }, startedAtMs]) => {
        const ageMs = (nowMs - startedAtMs) / pace;
        return 1 / (this.#costs.estimateRestMs(routeName, ageMs) ?? DEFAULT_COST_MS);
      }),
    );
    // A slot in excess of the capacity is not used again.
    return ((1 - idle) / endsPerMs + aheadMs / capacity) * pace;
  }

  #getFinishedPace(): number {
    return this.#computePace(this.#heldMs, this.#expectedMs);
  }

  #computePace(heldMs: number, expectedMs: number): number {
    if (expectedMs === 0) return 1;
    const priorMs = (expectedMs / (1 / (1 - PACE_DECAY))) * PRIOR_WEIGHT;
    const pace = (heldMs + priorMs) / (expectedMs + priorMs);
    return Math.min(MAX_PACE, Math.max(MIN_PACE, pace));
  }
}
