import { RetryBudget } from './RetryBudget.js';

/** Parts of the slack that may be used at once, and evenly over a window. The rest is a margin. */
const BURST_SHARE = 0.4;
const STEADY_SHARE = 0.4;
/** Part of the ratio that is used: a repeated request repeats its calls to other services too. */
const RATIO_SHARE = 0.5;

/** What all nodes together may repeat at a service within a window. */
export interface SharedBudgetBounds {
  /** Repeats per request. */
  ratio: number;
  /** Repeats beyond that. */
  slack: number;
  windowS: number;
}

/**
 * This node's part of a budget that all nodes share. The slack is divided by the number of nodes, and
 * the rest follows the requests that a node receives, so the sum holds wherever the load moves.
 */
export default class SharedRetryBudget extends RetryBudget {
  readonly #bounds: SharedBudgetBounds;

  readonly #countNodes: () => number;

  /**
   * @param bounds - of all nodes together
   * @param countNodes - returns the number of nodes known now
   */
  constructor(bounds: SharedBudgetBounds, countNodes: () => number) {
    super();
    this.#bounds = bounds;
    this.#countNodes = countNodes;
  }

  protected override get burst(): number {
    return (this.#bounds.slack * BURST_SHARE) / this.#nodeCount;
  }

  protected override get tokensPerRequest(): number {
    return this.#bounds.ratio * RATIO_SHARE;
  }

  protected override get tokensPerSecond(): number {
    const { slack, windowS } = this.#bounds;
    return (slack * STEADY_SHARE) / windowS / this.#nodeCount;
  }

  get #nodeCount(): number {
    return Math.max(1, this.#countNodes());
  }
}
