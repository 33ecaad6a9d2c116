import type { ServerEntry } from '../../process/endpoints/types.js';

/** Why a server was chosen. */
export enum SelectionReason {
  OnlyCandidate = 'ONLY_CANDIDATE',
  RoundRobin = 'ROUND_ROBIN',
  LowerCost = 'LOWER_COST',
  Spill = 'SPILL',
  RemoteOnly = 'REMOTE_ONLY',
  Panic = 'PANIC',
  /** No answer of the server is known yet. */
  Explored = 'EXPLORED',
}

/** One choice, with what is needed to explain it. */
export interface Selection {
  entry: ServerEntry;
  reason: SelectionReason;
  /** Servers compared with each other, by key. */
  considered: string[];
}

/** What a choice depends on besides the candidates. */
export interface SelectionContext {
  service: string;
  /** Present time in milliseconds since the epoch. */
  nowMs: number;
  /** Returns a number from 0 up to 1. */
  random: () => number;
}

/** Chooses the server of a request among live servers. */
export abstract class ServerSelector {
  /**
   * @param candidates - servers that are announced as serving and were not tried yet
   * @param context - time, service and randomness
   * @returns undefined when there is no candidate
   */
  abstract select(candidates: ServerEntry[], context: SelectionContext): Selection | undefined;
}
