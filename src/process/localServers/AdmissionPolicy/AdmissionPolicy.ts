/** What a request asks of a gate. */
export interface SlotDemand {
  /** Time by which the response has to be complete, in milliseconds. */
  deadlineMs: number;
  isRetry: boolean;
  /** Route whose requests take much longer than those of the quickest route of the server. */
  isSlow: boolean;
  /** Route whose requests hold a slot for a small part of the time that others of the server do. */
  isBrief?: boolean;
  /** Least time that the server needs for such a request; 0 when unknown. */
  minServiceMs?: number;
  /** Mean time that the server needs for such a request; 0 when unknown. */
  meanServiceMs?: number;
  /** Time up to which a response is of full use. */
  objectiveAtMs?: number | undefined;
  /** 0 is the most urgent. */
  priority?: number;
  /** Whether the caller was probably refused before. */
  isReturn?: boolean;
}

/** A request that waits, as a policy sees it. */
export interface WaitingRequest {
  readonly demand: SlotDemand;
  /** Smaller is served first. */
  readonly rank: number;
}

/** Decides in which order requests wait for the slots of one server, and which do not wait. */
export abstract class AdmissionPolicy {
  /** Smaller is served first. */
  abstract computeRank(demand: SlotDemand): number;

  /** Slots that slow requests cannot take. */
  abstract getReservedSlots(capacity: number): number;

  /** Requests that may wait. */
  abstract getQueueLimit(slots: number): number;

  /**
   * Tells whether a request is refused now rather than after a wait.
   *
   * @param demand - the request
   * @param waitMs - expected wait
   * @param nowMs - present time in milliseconds
   */
  abstract wouldBeLate(demand: SlotDemand, waitMs: number, nowMs: number): boolean;

  /**
   * Chooses the request that takes a free slot.
   *
   * @param admissible - requests that could take it, in order of arrival; at least one
   * @param facts - number of admissions so far, and the present time in milliseconds
   */
  abstract selectNext<T extends WaitingRequest>(
    admissible: T[],
    facts: { admittedCount: number; nowMs: number },
  ): T | undefined;
}
