/** Outcomes and results of orders and steps of roll-outs. */

/** How an order or a step of a roll-out was answered. */
export enum RolloutOutcome {
  Accepted = 'ACCEPTED',
  /** The same order or step was accepted before. */
  AlreadyAccepted = 'ALREADY_ACCEPTED',
  /** Another roll-out of the service has not ended yet. */
  InProgress = 'IN_PROGRESS',
  /** The configuration in force has no such service. */
  UnknownService = 'UNKNOWN_SERVICE',
  /** The last completed roll-out led to the same software version. */
  SameVersion = 'SAME_VERSION',
  /** The roll-out could not be completed within the duration. */
  InvalidDuration = 'INVALID_DURATION',
  Invalid = 'INVALID',
  /** A later step of the roll-out was accepted. */
  Superseded = 'SUPERSEDED',
  /** No leader; the request did not run. */
  Unavailable = 'UNAVAILABLE',
  /** The request may have run; repeating it is safe. */
  Unknown = 'UNKNOWN',
}

export interface RolloutResult {
  outcome: RolloutOutcome;
  /** One sentence for the operator. */
  message: string;
}
