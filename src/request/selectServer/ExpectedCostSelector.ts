import { getReportedWaitMs } from '../observeServers/index.js';
import LeastDelaySelector, { computeLoadCostMs, isRefusing } from './LeastDelaySelector.js';

import type { ServerEntry } from '../../process/endpoints/types.js';
import type { RouteCosts } from '../../process/localServers/index.js';
import type { ServerObservation, WorkReport } from '../observeServers/index.js';
import type { ExpectedAnswer, SelectionContext } from './ServerSelector.js';
import type { DelayFacts, LeastDelaySelectorOptions } from './LeastDelaySelector.js';

/** Half-life of a reported wait and load: slots change hands a few times a second. */
const WAIT_HALF_LIFE_MS = 700;
/** Half-life of a reported pace: the speed of a server lasts, a slow phase passes in seconds. */
const PACE_HALF_LIFE_MS = 6_000;
/** Servers that were seen for a shorter time and have no report are taken for cold ones. */
const WARM_UP_MS = 3_000;
const COLD_PACE = 2;
/** Age up to which a reported wait is taken as it is. */
const FRESH_MS = 400;

interface WaitFacts {
  slots: number;
  /** Wait for a request of this priority, as it was reported. */
  reportedMs: number;
  /** Mean of the reported loads of the service. */
  meanLoad: number;
  nowMs: number;
}

export interface ExpectedCostSelectorOptions extends LeastDelaySelectorOptions {
  routeCosts: RouteCosts;
}

const computeDecay = (ageMs: number, halfLifeMs: number): number =>
  0.5 ** (Math.max(0, ageMs) / halfLifeMs);

/**
 * Selects the server with the lowest expected time to the answer: the wait for a slot that its node
 * reports, and the expected cost of this request at the pace of that server.
 *
 * Answers load on servers of unequal speed and requests of unequal cost: a share of slots in use does
 * not tell when a slot is free, and a mean over all routes does not tell a slow server from one that
 * gets the long requests.
 */
export default class ExpectedCostSelector extends LeastDelaySelector {
  readonly #routeCosts: RouteCosts;

  constructor(options: ExpectedCostSelectorOptions) {
    super(options);
    this.#routeCosts = options.routeCosts;
  }

  protected override estimateDelayMs({ entry, observation, means, context }: DelayFacts): number {
    const { nowMs, routeName } = context;
    const { work } = observation;
    if (!work || work.pace === 0) {
      const isCold = !work && nowMs - observation.firstSeenAtMs < WARM_UP_MS;
      const delayMs = super.estimateDelayMs({ entry, observation, means, context });
      return isCold ? delayMs * COLD_PACE : delayMs;
    }
    const costMs = (routeName && this.#routeCosts.getMeanMs(routeName)) || means.holdMs;
    const slots = Math.max(1, entry.server.slots);
    const reportedMs = getReportedWaitMs(work, context.priority ?? 0);
    const facts = { slots, reportedMs, meanLoad: means.load, nowMs };
    const wait = this.#estimateWaitMs(work, observation, facts);
    const paceWeight = computeDecay(nowMs - work.atMs, PACE_HALF_LIFE_MS);
    const pace = paceWeight * work.pace + (1 - paceWeight);
    const loadCostMs = computeLoadCostMs(wait.load, means.holdMs);
    return wait.waitSlots * means.holdMs * pace + wait.waitMs + costMs * pace + loadCostMs * pace;
  }

  /** Only a report that is fresh tells that a server has no room. */
  protected override expectAnswer(
    entry: ServerEntry,
    { nowMs, routeName, priority = 0 }: SelectionContext,
  ): ExpectedAnswer | undefined {
    const { work } = this.observe(entry, nowMs);
    const meanMs = routeName === undefined ? undefined : this.#routeCosts.getMeanMs(routeName);
    if (!work || meanMs === undefined || nowMs - work.atMs > FRESH_MS) return undefined;
    return { waitMs: getReportedWaitMs(work, priority), costMs: meanMs * (work.pace || 1) };
  }

  /** Estimates the wait for a slot: what was reported, and what this node has sent since. */
  #estimateWaitMs(
    work: WorkReport,
    observation: ServerObservation,
    { slots, reportedMs, meanLoad, nowMs }: WaitFacts,
  ): { load: number; waitMs: number; waitSlots: number } {
    const weight = computeDecay(nowMs - work.atMs, WAIT_HALF_LIFE_MS);
    const sentSince = Math.max(0, observation.inFlight - observation.inFlightAtWork);
    const reportedLoad = weight * work.load + (1 - weight) * meanLoad;
    const load = Math.max(reportedLoad, isRefusing(observation, nowMs) ? 1 : 0) + sentSince / slots;
    const isFull = reportedMs > 0;
    return {
      load,
      waitMs: weight * reportedMs,
      waitSlots: isFull ? sentSince / slots : Math.max(0, load + 1 / slots - 1),
    };
  }
}
