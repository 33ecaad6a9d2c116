import { RetryBudget } from './RetryBudget.js';

import type { RetryBudgetOptions } from './RetryBudget.js';

/** Shares of the slack allowed as a burst, and evenly over a window; the rest is a margin. */
const BURST_SHARE = 0.4;
const STEADY_SHARE = 0.4;
/** Share of the ratio that is used; a retried request also repeats its calls to other services. */
const RATIO_SHARE = 0.5;

/** Retries that all nodes together may send to a service within a window. */
export interface SharedBudgetBounds {
  /** Retries per request. */
  ratio: number;
  /** Retries allowed in addition to the ratio. */
  slack: number;
  windowS: number;
}

/**
 * This node's part of a retry budget that all nodes share.
 *
 * The slack is divided by the number of nodes, and the rest is proportional to the requests that a
 * node receives, so the shared bound holds for any distribution of the load.
 */
export default class SharedRetryBudget extends RetryBudget {
  readonly #bounds: SharedBudgetBounds;

  readonly #countNodes: () => number;

  /**
   * @param bounds - bounds for all nodes together
   * @param countNodes - returns the number of known nodes
   */
  constructor(
    bounds: SharedBudgetBounds,
    countNodes: () => number,
    options: Pick<RetryBudgetOptions, 'random'> = {},
  ) {
    super(options);
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
