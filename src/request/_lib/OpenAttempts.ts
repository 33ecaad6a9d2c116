import type { Result } from 'neverthrow';

import type { CallError } from '../../connection/CallError/index.js';
import type { CallSummary } from '../../connection/UpstreamCall/index.js';

export enum AttemptEventKind {
  /** The node beside the server has not acknowledged the request so far; the attempt goes on. */
  Overdue = 'OVERDUE',
  Ended = 'ENDED',
}

export type AttemptResult = Result<CallSummary, CallError>;

export type AttemptEvent =
  | { kind: AttemptEventKind.Overdue }
  | {
      kind: AttemptEventKind.Ended;
      /** Key of the server. */
      key: string;
      result: AttemptResult;
    };

/** Receives what becomes known about an attempt in progress. */
export interface AttemptProgress {
  reportOverdue: () => void;
  /** Reports a sign of life of the node, after which the attempt is no longer overdue. */
  reportAcknowledged: () => void;
}

interface OpenAttempt {
  readonly key: string;
  isOverdue: boolean;
}

interface PendingEvent {
  attempt: OpenAttempt;
  /** Set when the attempt has ended. */
  ended?: Promise<AttemptResult>;
}

/**
 * Attempts of one request that are in progress at the same time.
 *
 * An overdue attempt stays open beside the next one, since its server may still answer first.
 */
export default class OpenAttempts {
  readonly #attempts = new Set<OpenAttempt>();

  readonly #events: PendingEvent[] = [];

  #wake: () => void = () => undefined;

  /** Number of attempts whose end was not returned by `next` yet. */
  get size(): number {
    return this.#attempts.size;
  }

  /** Whether no attempt is in progress but overdue ones. */
  get areOverdue(): boolean {
    return [...this.#attempts].every(({ isOverdue }) => isOverdue);
  }

  /**
   * Starts an attempt.
   *
   * @param key - key of the server
   * @param run - makes the attempt
   */
  start(key: string, run: (progress: AttemptProgress) => Promise<AttemptResult>): void {
    const attempt: OpenAttempt = { key, isOverdue: false };
    this.#attempts.add(attempt);
    const ended = run({
      reportOverdue: () => {
        attempt.isOverdue = true;
        this.#push({ attempt });
      },
      reportAcknowledged: () => {
        attempt.isOverdue = false;
      },
    });
    const pushEnd = (): void => this.#push({ attempt, ended });
    ended.then(pushEnd, pushEnd);
  }

  /**
   * Waits for the next event of an attempt; rejects if an attempt does. Must be called only while there
   * is an attempt.
   */
  async next(): Promise<AttemptEvent> {
    if (this.#events.length === 0) {
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
    }
    const event = this.#events.shift();
    if (!event?.ended) return { kind: AttemptEventKind.Overdue };
    const { attempt, ended } = event;
    this.#attempts.delete(attempt);
    return { kind: AttemptEventKind.Ended, key: attempt.key, result: await ended };
  }

  #push(event: PendingEvent): void {
    this.#events.push(event);
    this.#wake();
  }
}
