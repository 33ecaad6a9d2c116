/** Deadline, priority and expected cost of a request for a slot. */
export interface SlotDemand {
  /** Time by which the response must be complete, in milliseconds. */
  deadlineMs: number;
  isRetry: boolean;
  /** Route of the request, by which its cost is known. */
  routeName?: string;
  /** Whether requests of the route take much longer than those of the server's quickest route. */
  isSlow: boolean;
  /** Whether requests of the route hold a slot much shorter than those of another route. */
  isBrief?: boolean;
  /** Minimum service time of requests of the route, in milliseconds; 0 when unknown. */
  minServiceMs?: number;
  /** Mean service time of requests of the route, in milliseconds; 0 when unknown. */
  meanServiceMs?: number;
  /** Time by which the response should be complete to meet its latency objective. */
  objectiveAtMs?: number | undefined;
  /** 0 is the most urgent. */
  priority?: number;
  /** Whether the request is probably the caller's retry after a refusal. */
  isReturn?: boolean;
  /** Workspace that sends the request; absent on routes that need no key. */
  workspace?: string | undefined;
  /** Whether a running request made it as a call, and holds a slot elsewhere until it is answered. */
  isCall?: boolean;
}

/** A waiting request. */
export interface WaitingRequest {
  readonly demand: SlotDemand;
  /** Requests with a lower rank are served first. */
  readonly rank: number;
}

/** Decides which requests wait for a slot of a server, and in which order they are served. */
export abstract class AdmissionPolicy {
  /** Returns the rank of a request; requests with a lower rank are served first. */
  abstract computeRank(demand: SlotDemand): number;

  /** Returns the number of slots that slow requests cannot use. */
  abstract getReservedSlots(capacity: number): number;

  /** Returns the number of requests that may wait. */
  abstract getQueueLimit(slots: number): number;

  /**
   * Returns whether a request would finish too late after a wait, and is refused instead.
   *
   * @param demand - deadline, objective and expected cost of the request
   * @param waitMs - expected wait in milliseconds
   * @param nowMs - present time in milliseconds
   */
  abstract wouldBeLate(demand: SlotDemand, waitMs: number, nowMs: number): boolean;

  /** Takes note that a request got a slot or was refused; does nothing by default. */
  recordDecision(_demand: SlotDemand, _isServed: boolean): void {}

  /**
   * Selects the waiting request that gets a free slot.
   *
   * @param admissible - requests that could use the slot, in order of arrival
   * @param facts - number of admissions so far, and the present time in milliseconds
   * @returns the selected request; undefined when there is none
   */
  abstract selectNext<T extends WaitingRequest>(
    admissible: T[],
    facts: { admittedCount: number; nowMs: number },
  ): T | undefined;
}
