import { formatServerKey } from '../observeServers/index.js';
import { SelectionReason, ServerSelector } from './ServerSelector.js';

import type { ServerEntry } from '../../process/endpoints/types.js';
import type { CircuitBreaker } from '../breakCircuit/index.js';
import type { ServerObservation, ServerObservations } from '../observeServers/index.js';
import type { Selection, SelectionContext } from './ServerSelector.js';

/** Time after its start until a server gets its full share of the traffic. */
const SLOW_START_MS = 10_000;
/** Share of the traffic that a newly started server gets. */
const SLOW_START_MIN_SHARE = 0.1;
/** Panic threshold: with a larger share of ejected servers, all live servers are used. */
const MAX_EJECTED_SHARE = 0.5;
/** Time after which a reported load is stale. */
const REPORT_TTL_MS = 1_000;
/** Time after a refusal without a free slot during which the server counts as fully loaded. */
const REFUSAL_TTL_MS = 250;
/** Load up to this share does not slow a server down. */
const LOAD_PENALTY_THRESHOLD = 0.7;
/** Cost of a fully loaded server relative to an idle one. */
const FULL_LOAD_PENALTY = 4;
/** Load of the local servers from which requests may spill to another data centre. */
const MIN_LOAD_TO_SPILL = 0.95;
/** Load below which a server of another data centre receives spilled requests. */
const MAX_LOAD_FOR_SPILL = 0.8;
/** Exponent of the preference for the cheaper of two servers; higher values cause herding. */
const PREFERENCE_EXPONENT = 3;

/** Share of the requests that are spread over all servers, to keep observations up to date. */
const EXPLORATION_SHARE = 0.02;
/** Number of servers with a grant from which on only these are compared. */
const MIN_GRANTED_SERVERS = 2;

export interface TwoChoicesSelectorOptions {
  /** Data centre of this node. */
  dataCentre: string;
  observations: ServerObservations;
  breaker: CircuitBreaker;
  /** Returns whether a granted slot allows a direct call to the server. */
  isGranted?: (key: string) => boolean;
}

interface Candidate {
  entry: ServerEntry;
  key: string;
  observation: ServerObservation;
  load: number;
  cost: number;
}

const getReportedLoad = (observation: ServerObservation, nowMs: number): number => {
  if (nowMs - observation.lastRefusalAtMs < REFUSAL_TTL_MS) return 1;
  return nowMs - observation.reportedLoadAtMs < REPORT_TTL_MS ? observation.reportedLoad : 0;
};

/** Returns the share of its full traffic that a server gets during slow start. */
const computeSlowStartShare = (
  { server }: ServerEntry,
  observation: ServerObservation,
  nowMs: number,
): number => {
  // The other node's clock may be ahead, so the time is also bounded by this node's first sight.
  const startedAtMs = Math.min(Number(server.servingSinceMs), observation.firstSeenAtMs);
  const share = (nowMs - startedAtMs) / SLOW_START_MS;
  return Math.min(1, Math.max(SLOW_START_MIN_SHARE, share));
};

/**
 * Compares two random servers and prefers the cheaper one ("power of two choices").
 *
 * The cost is the latency relative to the mean of the same routes, times the requests of this node
 * in flight at the server, times a penalty for the reported load, divided by the slow-start share.
 */
export default class TwoChoicesSelector extends ServerSelector {
  readonly #options: TwoChoicesSelectorOptions;

  constructor(options: TwoChoicesSelectorOptions) {
    super();
    this.#options = options;
  }

  override select(candidates: ServerEntry[], context: SelectionContext): Selection | undefined {
    const { dataCentre } = this.#options;
    const { healthy, isPanic } = this.#eject(candidates, context);
    const local = healthy.filter((entry) => entry.node.dataCentre === dataCentre);
    const remote = () => healthy.filter((entry) => entry.node.dataCentre !== dataCentre);
    const isRemoteOnly = local.length === 0;
    const pair = this.#sampleTwo(
      this.#preferGranted(isRemoteOnly ? healthy : local, context),
      context,
    );
    const chosen = this.#choose(pair, context);
    if (!chosen) return undefined;
    const isSaturated = pair.every((candidate) => candidate.load >= MIN_LOAD_TO_SPILL);
    if (!isRemoteOnly && isSaturated && healthy.length > local.length) {
      const spill = this.#choose(this.#sampleTwo(remote(), context), context);
      if (spill && spill.load < MAX_LOAD_FOR_SPILL) {
        const considered = [...pair, spill].map((candidate) => candidate.key);
        return { entry: spill.entry, reason: SelectionReason.Spill, considered };
      }
    }
    const reason = this.#determineReason({ isPanic, isRemoteOnly, count: pair.length });
    return { entry: chosen.entry, reason, considered: pair.map((candidate) => candidate.key) };
  }

  #determineReason(facts: {
    isPanic: boolean;
    isRemoteOnly: boolean;
    count: number;
  }): SelectionReason {
    if (facts.isPanic) return SelectionReason.Panic;
    if (facts.isRemoteOnly) return SelectionReason.RemoteOnly;
    return facts.count === 1 ? SelectionReason.OnlyCandidate : SelectionReason.LowerCost;
  }

  #eject(
    candidates: ServerEntry[],
    { nowMs }: SelectionContext,
  ): { healthy: ServerEntry[]; isPanic: boolean } {
    const { breaker } = this.#options;
    const healthy = candidates.filter((entry) => breaker.allows(formatServerKey(entry), nowMs));
    const ejected = candidates.length - healthy.length;
    const isPanic = ejected > candidates.length * MAX_EJECTED_SHARE;
    return isPanic ? { healthy: candidates, isPanic } : { healthy, isPanic };
  }

  /**
   * Restricts the candidates to servers that can be called directly, if there are at least two.
   *
   * Otherwise the requests spread so thinly that hardly any grant is used again before its lease
   * ends.
   */
  #preferGranted(entries: ServerEntry[], { random }: SelectionContext): ServerEntry[] {
    const { isGranted } = this.#options;
    if (!isGranted || random() < EXPLORATION_SHARE) return entries;
    const granted = entries.filter((entry) => isGranted(formatServerKey(entry)));
    return granted.length >= MIN_GRANTED_SERVERS ? granted : entries;
  }

  #sampleTwo(entries: ServerEntry[], { random, nowMs }: SelectionContext): Candidate[] {
    const { length } = entries;
    if (length === 0) return [];
    const first = Math.floor(random() * length);
    if (length === 1) return [this.#evaluate(entries[first] as ServerEntry, nowMs)];
    const second = (first + 1 + Math.floor(random() * (length - 1))) % length;
    return [first, second].map((index) => this.#evaluate(entries[index] as ServerEntry, nowMs));
  }

  #evaluate(entry: ServerEntry, nowMs: number): Candidate {
    const key = formatServerKey(entry);
    const observation = this.#options.observations.get(key, nowMs);
    const load = getReportedLoad(observation, nowMs);
    const excess = Math.max(0, load - LOAD_PENALTY_THRESHOLD) / (1 - LOAD_PENALTY_THRESHOLD);
    const loadPenalty = 1 + excess * (FULL_LOAD_PENALTY - 1);
    const share = computeSlowStartShare(entry, observation, nowMs);
    const { relativeLatency, inFlight } = observation;
    const cost = (relativeLatency * (1 + inFlight) * loadPenalty) / share;
    return { entry, key, observation, load, cost };
  }

  #choose(pair: Candidate[], { random }: SelectionContext): Candidate | undefined {
    const [first, second] = pair;
    if (!first || !second) return first;
    // The choice is weighted by cost, so that nodes with the same stale data do not herd.
    const ratio = (first.cost / second.cost) ** PREFERENCE_EXPONENT;
    return random() * (1 + ratio) < 1 ? first : second;
  }
}
