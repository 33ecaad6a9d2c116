import { formatServerKey } from '../observeServers/index.js';
import { SelectionReason, ServerSelector } from './ServerSelector.js';

import type { ServerEntry } from '../../process/endpoints/types.js';
import type { ServerObservation } from '../observeServers/index.js';
import type { Selection, SelectionContext } from './ServerSelector.js';
import type { TwoChoicesSelectorOptions } from './TwoChoicesSelector.js';

/** Servers of the own data centre, and of others, that are compared for one request. */
const LOCAL_SAMPLE_SIZE = 4;
const REMOTE_SAMPLE_SIZE = 2;
/** Reports lose half of their weight against the mean of the service in this time. */
const REPORT_HALF_LIFE_MS = 1_000;
/**
 * Reported service times lose half of their weight against the mean of the service in this time, so
 * that a server which was slow is tried again.
 */
const HOLD_HALF_LIFE_MS = 3_000;
/** The means of a service are read anew after this time; with many servers that costs more than a choice. */
const MEANS_TTL_MS = 100;
/** A refusal counts as a full queue for this time. */
const REFUSAL_TTL_MS = 150;
/**
 * Cost of a request to a server that is not beside this node, as a share of the mean service time: two
 * more messages, and the processor time of a second node.
 */
const FORWARDING_COST_SHARE = 0.2;
/** Cost of a request to another data centre beyond that, as a share of the mean service time. */
const CROSS_DATA_CENTRE_COST_SHARE = 0.25;
/** Cost of the last free slot, as a share of the service time: the next request may find it taken. */
const FULL_LOAD_COST_SHARE = 0.6;
const FULL_LOAD_COST_EXPONENT = 5;
/** Width of the random part of a cost, which keeps nodes with the same view from herding. */
const JITTER_WIDTH = 0.15;
/** A server is slow for about this time after this node first saw it. */
const WARM_UP_MS = 3_000;
const WARM_UP_FACTOR = 2;
/** Share of the requests that go to a server of the own data centre that no answer has told of yet. */
const EXPLORATION_SHARE = 0.2;
/** Ejection stops here: beyond this share of ejected servers, all live servers are used. */
const MAX_EJECTED_SHARE = 0.5;
/** Service time of servers that have not answered yet. */
const DEFAULT_HOLD_MS = 100;

/** What is expected of the servers of one service, as far as their nodes have reported it. */
interface ServiceMeans {
  load: number;
  holdMs: number;
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

/** Returns how much a report still counts, halved with each half-life. */
const computeDecay = (ageMs: number, halfLifeMs: number): number => 0.5 ** (ageMs / halfLifeMs);

export interface LeastDelaySelectorOptions extends TwoChoicesSelectorOptions {
  nodeId: string;
}

/** Weight of a reported service time; 0 when there is none. */
const weighHoldTime = (
  { reportedHoldMs, reportedLoadAtMs }: ServerObservation,
  nowMs: number,
): number => (reportedHoldMs === 0 ? 0 : computeDecay(nowMs - reportedLoadAtMs, HOLD_HALF_LIFE_MS));

/**
 * Chooses the server with the least expected time to a response. Answers of the nodes beside the
 * servers carry how many requests they hold and how long their slots are held, so every entry node
 * knows slow and crowded servers without asking. For load that comes near the slots of a service, with
 * servers of different speed.
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
    const own = healthy.filter((entry) => entry.node.dataCentre === dataCentre);
    const others = healthy.filter((entry) => entry.node.dataCentre !== dataCentre);
    const unknown = random() < EXPLORATION_SHARE ? this.#findUnobserved(own, context) : undefined;
    if (unknown) {
      const considered = own.map(formatServerKey);
      return { entry: unknown, reason: SelectionReason.Explored, considered };
    }
    const near = own.filter((entry) => !this.#isOnThisNode(entry));
    const compared = [
      ...own.filter((entry) => this.#isOnThisNode(entry)),
      ...sample(near, LOCAL_SAMPLE_SIZE, random),
      ...sample(others, own.length > 0 ? REMOTE_SAMPLE_SIZE : LOCAL_SAMPLE_SIZE, random),
    ].map((entry) => this.#evaluate(entry, means, context));
    const [first, ...rest] = compared;
    if (!first) return undefined;
    const chosen = rest.reduce((best, other) => (other.cost < best.cost ? other : best), first);
    const isOwn = chosen.entry.node.dataCentre === dataCentre;
    const reason = this.#determineReason({
      isPanic,
      isOwn,
      hasOwn: own.length > 0,
      count: compared.length,
    });
    return { entry: chosen.entry, reason, considered: compared.map(({ key }) => key) };
  }

  /**
   * Returns a warm server that this node knows nothing of yet. Its expected delay is a guess from the
   * others, so a joined server could be passed over for good.
   */
  #findUnobserved(own: ServerEntry[], { nowMs }: SelectionContext): ServerEntry | undefined {
    if (own.length < 2) return undefined;
    return own.find((entry) => {
      const observation = this.#options.observations.get(formatServerKey(entry), nowMs);
      const isUnused = observation.reportedLoadAtMs === 0 && observation.inFlight === 0;
      const wasRefused = observation.lastRefusalAtMs > 0;
      return isUnused && !wasRefused && nowMs - observation.firstSeenAtMs >= WARM_UP_MS;
    });
  }

  #determineReason(facts: {
    isPanic: boolean;
    isOwn: boolean;
    hasOwn: boolean;
    count: number;
  }): SelectionReason {
    if (facts.isPanic) return SelectionReason.Panic;
    if (facts.count === 1) return SelectionReason.OnlyCandidate;
    if (facts.isOwn) return SelectionReason.LowerCost;
    return facts.hasOwn ? SelectionReason.Spill : SelectionReason.RemoteOnly;
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
    const means = { ...this.#computeMeans(entries, nowMs), readAtMs: nowMs };
    this.#meansByService.set(service, means);
    return means;
  }

  #computeMeans(entries: ServerEntry[], nowMs: number): ServiceMeans {
    const reported = entries
      .map((entry) => this.#options.observations.get(formatServerKey(entry), nowMs))
      .filter(({ reportedLoadAtMs }) => reportedLoadAtMs > 0);
    const weight = computeSum(reported.map((one) => weighHoldTime(one, nowMs)));
    const weightedHoldMs = computeSum(
      reported.map((one) => weighHoldTime(one, nowMs) * one.reportedHoldMs),
    );
    return {
      load:
        computeSum(reported.map(({ reportedLoad }) => reportedLoad)) / Math.max(1, reported.length),
      holdMs: weight > 0 ? weightedHoldMs / weight : DEFAULT_HOLD_MS,
    };
  }

  #isOnThisNode({ node }: ServerEntry): boolean {
    return node.nodeId === this.#options.nodeId;
  }

  #computeNetworkCostMs(entry: ServerEntry, { holdMs }: ServiceMeans): number {
    if (this.#isOnThisNode(entry)) return 0;
    const isOther = entry.node.dataCentre !== this.#options.dataCentre;
    return holdMs * (FORWARDING_COST_SHARE + (isOther ? CROSS_DATA_CENTRE_COST_SHARE : 0));
  }

  #evaluate(entry: ServerEntry, means: ServiceMeans, context: SelectionContext): Candidate {
    const key = formatServerKey(entry);
    const observation = this.#options.observations.get(key, context.nowMs);
    const networkCostMs = this.#computeNetworkCostMs(entry, means);
    const delayMs = this.#estimateDelayMs(entry, observation, means, context.nowMs);
    const jitter = 1 + JITTER_WIDTH * (context.random() - 0.5);
    return { entry, key, cost: delayMs * jitter + networkCostMs };
  }

  /** Expected wait for a slot and time in it. */
  #estimateDelayMs(
    { server }: ServerEntry,
    observation: ServerObservation,
    means: ServiceMeans,
    nowMs: number,
  ): number {
    const ageMs = nowMs - observation.reportedLoadAtMs;
    const loadWeight =
      observation.reportedLoadAtMs === 0 ? 0 : computeDecay(ageMs, REPORT_HALF_LIFE_MS);
    const reported = loadWeight * observation.reportedLoad + (1 - loadWeight) * means.load;
    const slots = Math.max(1, server.slots);
    // Requests sent since the report are not in it.
    const sentSinceReport = Math.max(0, observation.inFlight - observation.inFlightAtReport);
    const isRefusing = nowMs - observation.lastRefusalAtMs < REFUSAL_TTL_MS;
    const load = Math.max(reported, isRefusing ? 1 : 0) + sentSinceReport / slots;
    const holdWeight = weighHoldTime(observation, nowMs);
    const holdMs = holdWeight * observation.reportedHoldMs + (1 - holdWeight) * means.holdMs;
    const isWarmingUp =
      nowMs - observation.firstSeenAtMs < WARM_UP_MS && observation.sampleCount === 0;
    const serviceMs = isWarmingUp ? holdMs * WARM_UP_FACTOR : holdMs;
    const waitMs = Math.max(0, load + 1 / slots - 1) * holdMs;
    const loadCostMs = FULL_LOAD_COST_SHARE * Math.min(1, load) ** FULL_LOAD_COST_EXPONENT * holdMs;
    return serviceMs + waitMs + loadCostMs;
  }
}
