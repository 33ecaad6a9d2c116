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
}

/** Inputs of a selection besides the candidates. */
export interface SelectionContext {
  service: string;
  /** Route of the request, by which its cost is known. */
  routeName?: string;
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
