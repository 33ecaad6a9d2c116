import { CallErrorCode } from '../../connection/CallError/index.js';

import type { CallError, WithheldResponse } from '../../connection/CallError/index.js';

/** Maximum number of servers tried for a request that certainly did not run. */
const MAX_SERVERS_TRIED = 3;

const isNotRunError = (error: CallError): boolean =>
  error.code === CallErrorCode.NotWritten || error.code === CallErrorCode.Refused;

/** Returns whether a failed request certainly did not run; without an error, no server was found. */
export const isKnownNotRun = (error: CallError | undefined): boolean =>
  !error || isNotRunError(error) || !error.options.isWritten;

/** Returns whether a failed attempt may have reached a server, which may have refused it. */
const mayHaveArrived = (error: CallError): boolean =>
  error.options.isServerRefusal === true || !isKnownNotRun(error);

/** What bounds the attempts of a request. */
export interface AttemptLimits {
  isIdempotent: boolean;
  /** Number of servers that may run the request. */
  maxAttempts: number;
  /** Number of attempts already made by outer layers; a request with any is not retried. */
  outerAttempt: number;
}

/** The other attempts of a request, and whether it can be sent once more. */
export interface AttemptSituation {
  /** Number of attempts in progress, each of which may run. */
  openAttempts: number;
  /** Whether the body and the connection of the caller allow it. */
  canBeSent: boolean;
}

/** Decides from the ended attempts of one request whether there may be another one. */
export default class AttemptLedger {
  readonly #limits: AttemptLimits;

  #attempts = 0;

  /** Keys of the servers that run the request, or may have run it. */
  readonly #tried = new Set<string>();

  /** Keys of the servers that certainly did not run it. */
  readonly #refused = new Set<string>();

  /** Number of ended attempts that may have run. */
  #possibleRuns = 0;

  /** Number of ended attempts that may have reached a server. */
  #arrivals = 0;

  #chargedRetries = 0;

  #chargedRepeats = 0;

  #lastError: CallError | undefined;

  #possibleRunError: CallError | undefined;

  #withheldResponse: WithheldResponse | undefined;

  constructor(limits: AttemptLimits) {
    this.#limits = limits;
  }

  /** Number of attempts made. */
  get attempts(): number {
    return this.#attempts;
  }

  /** What is known about the request; an attempt that may have run takes precedence over refusals. */
  get error(): CallError | undefined {
    return this.#possibleRunError ?? this.#lastError;
  }

  /** Last response of a server that was withheld for a retry. */
  get withheldResponse(): WithheldResponse | undefined {
    return this.#withheldResponse;
  }

  /** Returns whether a server was not tried yet. */
  isUntried(key: string): boolean {
    return !this.#tried.has(key) && !this.#refused.has(key);
  }

  /** Returns whether a server was tried that certainly did not run the request. */
  hasRefused(key: string): boolean {
    return this.#refused.has(key);
  }

  /** Records the start of an attempt. */
  addAttempt(key: string): void {
    this.#attempts += 1;
    this.#tried.add(key);
    this.#refused.delete(key);
  }

  /** Records why no server could be tried. */
  recordObstacle(error: CallError): void {
    this.#lastError = error;
  }

  /** Records the failure of an attempt on a server. */
  recordFailure(key: string, error: CallError): void {
    this.#lastError = error;
    if (isNotRunError(error)) {
      this.#tried.delete(key);
      this.#refused.add(key);
    }
    // A later attempt that was cancelled unsent leaves the outcome of an earlier one unknown.
    if (!isKnownNotRun(error)) {
      this.#possibleRuns += 1;
      this.#possibleRunError = error;
    }
    if (mayHaveArrived(error)) this.#arrivals += 1;
    this.#withheldResponse = error.options.response ?? this.#withheldResponse;
  }

  /** Returns whether a request that may have run, or may be running, can be sent to another server. */
  mayRunAgain({ openAttempts, canBeSent }: AttemptSituation): boolean {
    const { isIdempotent, maxAttempts, outerAttempt } = this.#limits;
    const runs = this.#possibleRuns + openAttempts;
    return isIdempotent && runs < maxAttempts && outerAttempt === 0 && canBeSent;
  }

  /** Returns whether to try another server after a failure that is recorded. */
  mayRetry(error: CallError, situation: AttemptSituation): boolean {
    const { maxAttempts, outerAttempt } = this.#limits;
    if (!situation.canBeSent || outerAttempt > 0) return false;
    const mayRun = this.#possibleRuns + situation.openAttempts > 0;
    if (mayRun && !this.mayRunAgain(situation)) return false;
    if (!isNotRunError(error)) return error.code !== CallErrorCode.Truncated;
    return this.#attempts < Math.max(MAX_SERVERS_TRIED, maxAttempts);
  }

  /**
   * Charges the next attempt as a retry, unless no attempt before it may have reached a server.
   *
   * @param openAttempts - number of attempts in progress
   * @param take - takes a retry from the budget; returns false if it is exhausted
   * @returns false if the retry is not within the budget
   */
  chargeRetry(openAttempts: number, take: () => boolean): boolean {
    if (this.#chargedRetries >= this.#arrivals + openAttempts) return true;
    if (!take()) return false;
    this.#chargedRetries += 1;
    return true;
  }

  /**
   * Charges the next attempt as a repeat, unless no attempt before it may have run.
   *
   * @param openAttempts - number of attempts in progress
   * @param charge - charges a repeat to the quota
   */
  chargeRepeat(openAttempts: number, charge: () => void): void {
    if (this.#chargedRepeats >= this.#possibleRuns + openAttempts) return;
    this.#chargedRepeats += 1;
    charge();
  }

  /**
   * Returns how many of the charged repeats certainly did not run.
   *
   * @param openAttempts - number of attempts in progress, or ended with a response
   */
  countUnusedRepeats(openAttempts: number): number {
    const repeats = Math.max(0, this.#possibleRuns + openAttempts - 1);
    return Math.max(0, this.#chargedRepeats - repeats);
  }
}
