import type { ServerEntry } from '../../process/endpoints/types.js';

/** Why a server was selected. */
export enum SelectionReason {
  OnlyCandidate = 'ONLY_CANDIDATE',
  RoundRobin = 'ROUND_ROBIN',
  LowerCost = 'LOWER_COST',
  Spill = 'SPILL',
  RemoteOnly = 'REMOTE_ONLY',
  Panic = 'PANIC',
  /** The server was selected because it has no observations yet. */
  Explored = 'EXPLORED',
}

/** A selected server, with the reason and the alternatives. */
export interface Selection {
  entry: ServerEntry;
  reason: SelectionReason;
  /** Keys of the servers that were compared. */
  considered: string[];
  /** What is expected of the server; undefined when too little is known. */
  expected?: ExpectedAnswer | undefined;
}

/** When a server is expected to answer a request. */
export interface ExpectedAnswer {
  /** Time until it has a free slot, in milliseconds. */
  waitMs: number;
  /** Time for which the request will hold the slot, in milliseconds. */
  costMs: number;
}

/** Inputs of a selection besides the candidates. */
export interface SelectionContext {
  service: string;
  /** Route of the request, by which its cost is known. */
  routeName?: string;
  /** 0 is the most urgent. */
  priority?: number;
  /** Present time in milliseconds since the epoch. */
  nowMs: number;
  /** Returns a uniform random number in [0, 1). */
  random: () => number;
}

/** Selects the server of a request among live servers. */
export abstract class ServerSelector {
  /**
   * @param candidates - servers announced as serving that this request has not tried yet
   * @param context - service, time and source of randomness
   * @returns the selection; undefined when there is no candidate
   */
  abstract select(candidates: ServerEntry[], context: SelectionContext): Selection | undefined;
}
