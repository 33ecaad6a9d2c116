import { formatServerKey } from '../observeServers/index.js';
import { SelectionReason, ServerSelector } from './ServerSelector.js';

import type { ServerEntry } from '../../process/endpoints/types.js';
import type { ServerObservation } from '../observeServers/index.js';
import type { ExpectedAnswer, Selection, SelectionContext } from './ServerSelector.js';
import type { TwoChoicesSelectorOptions } from './TwoChoicesSelector.js';

/** Numbers of servers compared per request: of the local data centre, and of others. */
const LOCAL_SAMPLE_SIZE = 4;
const REMOTE_SAMPLE_SIZE = 2;
/** Half-life of a reported load; the mean of the service makes up for the lost weight. */
const REPORT_HALF_LIFE_MS = 1_000;
/**
 * Half-life of a reported hold time; the mean of the service makes up for the lost weight, so that
 * a server which was slow is selected again.
 */
const HOLD_HALF_LIFE_MS = 3_000;
/** Cache time of the means of a service; with many servers they cost more than a selection. */
const MEANS_TTL_MS = 100;
/** Time after a refusal during which the server counts as full. */
const REFUSAL_TTL_MS = 150;
/**
 * Cost of forwarding a request to another node, as a share of the mean hold time: two more messages
 * and the processor time of the second node.
 */
const FORWARDING_COST_SHARE = 0.2;
/** Additional cost of a request to another data centre, as a share of the mean hold time. */
const CROSS_DATA_CENTRE_COST_SHARE = 0.25;
/** Cost at full load, as a share of the hold time: the last free slot may be taken meanwhile. */
const FULL_LOAD_COST_SHARE = 0.6;
const FULL_LOAD_COST_EXPONENT = 5;
/** Width of the jitter on the cost, which keeps nodes with the same data from herding. */
const JITTER_WIDTH = 0.15;
/** Time after this node first saw a server during which the server is expected to be slow. */
const WARM_UP_MS = 3_000;
const WARM_UP_FACTOR = 2;
/** Share of the requests that explore a server of the local data centre without observations. */
const EXPLORATION_SHARE = 0.2;
/** Panic threshold: with a larger share of ejected servers, all live servers are used. */
const MAX_EJECTED_SHARE = 0.5;
/** Hold time that is assumed while no server of a service has reported one. */
const DEFAULT_HOLD_MS = 100;

/** Means of the reports about the servers of one service. */
export interface ServiceMeans {
  load: number;
  holdMs: number;
}

/** What the delay of a server is estimated from. */
export interface DelayFacts {
  entry: ServerEntry;
  observation: ServerObservation;
  means: ServiceMeans;
  context: SelectionContext;
}

interface Candidate {
  entry: ServerEntry;
  key: string;
  cost: number;
}

const sample = (entries: ServerEntry[], count: number, random: () => number): ServerEntry[] => {
  if (entries.length <= count) return entries;
  const start = Math.floor(random() * entries.length);
  const stride = 1 + Math.floor(random() * (entries.length - 1));
  const sampled = new Set<ServerEntry>();
  for (let step = 0; sampled.size < count && step < entries.length; step += 1) {
    const entry = entries[(start + step * stride) % entries.length];
    if (entry) sampled.add(entry);
  }
  return [...sampled];
};

const computeSum = (values: number[]): number => values.reduce((sum, value) => sum + value, 0);

/** Returns the weight of a report, which halves with each half-life. */
const computeDecay = (ageMs: number, halfLifeMs: number): number => 0.5 ** (ageMs / halfLifeMs);

export interface LeastDelaySelectorOptions extends TwoChoicesSelectorOptions {
  nodeId: string;
}

/** Returns whether the server's node refused a request just now, so that the server counts as full. */
export const isRefusing = ({ lastRefusalAtMs }: ServerObservation, nowMs: number): boolean =>
  nowMs - lastRefusalAtMs < REFUSAL_TTL_MS;

/** Returns the cost of load in milliseconds: the last free slot may be taken meanwhile. */
export const computeLoadCostMs = (load: number, holdMs: number): number =>
  FULL_LOAD_COST_SHARE * Math.min(1, load) ** FULL_LOAD_COST_EXPONENT * holdMs;

/** Returns the weight of a reported hold time; 0 when there is none. */
const weighHoldTime = (
  { reportedHoldMs, reportedLoadAtMs }: ServerObservation,
  nowMs: number,
): number => (reportedHoldMs === 0 ? 0 : computeDecay(nowMs - reportedLoadAtMs, HOLD_HALF_LIFE_MS));

/**
 * Selects the server with the lowest expected time to a response.
 *
 * The servers' nodes report load and hold time with each response, so an entry node detects slow
 * and overloaded servers without extra messages. Suited to load close to the slots of a service,
 * and to servers of different speed.
 */
export default class LeastDelaySelector extends ServerSelector {
  readonly #options: LeastDelaySelectorOptions;

  readonly #meansByService = new Map<string, ServiceMeans & { computedAtMs: number }>();

  constructor(options: LeastDelaySelectorOptions) {
    super();
    this.#options = options;
  }

  override select(candidates: ServerEntry[], context: SelectionContext): Selection | undefined {
    const { dataCentre } = this.#options;
    const { random } = context;
    const { healthy, isPanic } = this.#eject(candidates, context.nowMs);
    const means = this.#getMeans(healthy, context);
    const local = healthy.filter((entry) => entry.node.dataCentre === dataCentre);
    const remote = healthy.filter((entry) => entry.node.dataCentre !== dataCentre);
    const unobserved =
      random() < EXPLORATION_SHARE ? this.#findUnobserved(local, context) : undefined;
    if (unobserved) {
      const considered = local.map(formatServerKey);
      return { entry: unobserved, reason: SelectionReason.Explored, considered };
    }
    const localPeers = local.filter((entry) => !this.#isOnThisNode(entry));
    const compared = [
      ...local.filter((entry) => this.#isOnThisNode(entry)),
      ...sample(localPeers, LOCAL_SAMPLE_SIZE, random),
      ...sample(remote, local.length > 0 ? REMOTE_SAMPLE_SIZE : LOCAL_SAMPLE_SIZE, random),
    ].map((entry) => this.#evaluate(entry, means, context));
    const [first, ...rest] = compared;
    if (!first) return undefined;
    const chosen = rest.reduce((best, other) => (other.cost < best.cost ? other : best), first);
    const isLocal = chosen.entry.node.dataCentre === dataCentre;
    const reason = this.#determineReason({
      isPanic,
      isLocal,
      hasLocal: local.length > 0,
      count: compared.length,
    });
    const expected = this.expectAnswer(chosen.entry, context);
    return { entry: chosen.entry, reason, considered: compared.map(({ key }) => key), expected };
  }

  /**
   * Returns a server past its warm-up that this node has no observations of. Its expected delay is
   * estimated from the other servers, so without exploration it might never be selected.
   */
  #findUnobserved(local: ServerEntry[], { nowMs }: SelectionContext): ServerEntry | undefined {
    if (local.length < 2) return undefined;
    return local.find((entry) => {
      const observation = this.#options.observations.get(formatServerKey(entry), nowMs);
      const isUnused = observation.reportedLoadAtMs === 0 && observation.inFlight === 0;
      const wasRefused = observation.lastRefusalAtMs > 0;
      return isUnused && !wasRefused && nowMs - observation.firstSeenAtMs >= WARM_UP_MS;
    });
  }

  #determineReason(facts: {
    isPanic: boolean;
    isLocal: boolean;
    hasLocal: boolean;
    count: number;
  }): SelectionReason {
    if (facts.isPanic) return SelectionReason.Panic;
    if (facts.count === 1) return SelectionReason.OnlyCandidate;
    if (facts.isLocal) return SelectionReason.LowerCost;
    return facts.hasLocal ? SelectionReason.Spill : SelectionReason.RemoteOnly;
  }

  #eject(candidates: ServerEntry[], nowMs: number): { healthy: ServerEntry[]; isPanic: boolean } {
    const { breaker } = this.#options;
    const healthy = candidates.filter((entry) => breaker.allows(formatServerKey(entry), nowMs));
    const isPanic = candidates.length - healthy.length > candidates.length * MAX_EJECTED_SHARE;
    return { healthy: isPanic ? candidates : healthy, isPanic };
  }

  #getMeans(entries: ServerEntry[], { service, nowMs }: SelectionContext): ServiceMeans {
    const known = this.#meansByService.get(service);
    if (known && nowMs - known.computedAtMs < MEANS_TTL_MS) return known;
    const means = { ...this.#computeMeans(entries, nowMs), computedAtMs: nowMs };
    this.#meansByService.set(service, means);
    return means;
  }

  #computeMeans(entries: ServerEntry[], nowMs: number): ServiceMeans {
    const reported = entries
      .map((entry) => this.#options.observations.get(formatServerKey(entry), nowMs))
      .filter(({ reportedLoadAtMs }) => reportedLoadAtMs > 0);
    const weight = computeSum(reported.map((observation) => weighHoldTime(observation, nowMs)));
    const weightedHoldMs = computeSum(
      reported.map((observation) => weighHoldTime(observation, nowMs) * observation.reportedHoldMs),
    );
    return {
      load:
        computeSum(reported.map(({ reportedLoad }) => reportedLoad)) / Math.max(1, reported.length),
      holdMs: weight > 0 ? weightedHoldMs / weight : DEFAULT_HOLD_MS,
    };
  }

  protected observe(entry: ServerEntry, nowMs: number): ServerObservation {
    return this.#options.observations.get(formatServerKey(entry), nowMs);
  }

  /** Returns when a server is expected to answer; undefined where it is not estimated. */
  protected expectAnswer(
    _entry: ServerEntry,
    _context: SelectionContext,
  ): ExpectedAnswer | undefined {
    return undefined;
  }

  #isOnThisNode({ node }: ServerEntry): boolean {
    return node.nodeId === this.#options.nodeId;
  }

  #computeNetworkCostMs(entry: ServerEntry, { holdMs }: ServiceMeans): number {
    if (this.#isOnThisNode(entry)) return 0;
    const isRemote = entry.node.dataCentre !== this.#options.dataCentre;
    return holdMs * (FORWARDING_COST_SHARE + (isRemote ? CROSS_DATA_CENTRE_COST_SHARE : 0));
  }

  #evaluate(entry: ServerEntry, means: ServiceMeans, context: SelectionContext): Candidate {
    const key = formatServerKey(entry);
    const observation = this.#options.observations.get(key, context.nowMs);
    const networkCostMs = this.#computeNetworkCostMs(entry, means);
    const delayMs = this.estimateDelayMs({ entry, observation, means, context });
    const jitter = 1 + JITTER_WIDTH * (context.random() - 0.5);
    return { entry, key, cost: delayMs * jitter + networkCostMs };
  }

  /** Estimates the time to wait for a slot plus the time in it, in milliseconds. */
  protected estimateDelayMs({ entry, observation, means, context }: DelayFacts): number {
    const { server } = entry;
    const { nowMs } = context;
    const ageMs = nowMs - observation.reportedLoadAtMs;
    const loadWeight =
      observation.reportedLoadAtMs === 0 ? 0 : computeDecay(ageMs, REPORT_HALF_LIFE_MS);
    const estimatedLoad = loadWeight * observation.reportedLoad + (1 - loadWeight) * means.load;
    const slots = Math.max(1, server.slots);
    // The report does not include the requests sent since.
    const sentSinceReport = Math.max(0, observation.inFlight - observation.inFlightAtReport);
    const load =
      Math.max(estimatedLoad, isRefusing(observation, nowMs) ? 1 : 0) + sentSinceReport / slots;
    const holdWeight = weighHoldTime(observation, nowMs);
    const holdMs = holdWeight * observation.reportedHoldMs + (1 - holdWeight) * means.holdMs;
    const isWarmingUp =
      nowMs - observation.firstSeenAtMs < WARM_UP_MS && observation.sampleCount === 0;
    const serviceMs = isWarmingUp ? holdMs * WARM_UP_FACTOR : holdMs;
    const waitMs = Math.max(0, load + 1 / slots - 1) * holdMs;
    const loadCostMs = computeLoadCostMs(load, holdMs);
    return serviceMs + waitMs + loadCostMs;
  }
}
