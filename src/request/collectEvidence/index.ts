/** Counts how the requests to each software version ended, while a roll-out is in progress. */
import { create } from '@bufbuild/protobuf';

import type { Result } from 'neverthrow';
import {
  RolloutStage,
  VersionEvidenceSchema,
} from '../../_generated/foxtailvane/v1/rollouts_pb.js';
import { CallErrorCode } from '../../connection/CallError/index.js';
import { createLogger } from '../../process/log/index.js';

import type { VersionEvidence } from '../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { CallError } from '../../connection/CallError/index.js';
import type { CallSummary } from '../../connection/UpstreamCall/index.js';
import type { RolloutHolder } from '../../process/holder/RolloutHolder/index.js';
import type { MetricsRegistry } from '../../process/metrics/index.js';

/** Bounds memory and reports; above two versions of each route of a large sheet. */
const MAX_ENTRIES = 512;
/** The last bucket holds all durations from 2^16 ms on. */
const BUCKET_COUNT = 34;
const FIRST_SERVER_ERROR = 500;

const log = createLogger('rollouts');

/** What an attempt says about the server's version. */
export enum AttemptVerdict {
  Success = 'success',
  Failure = 'failure',
  /** The request did not run, or its result does not depend on the server. */
  None = 'none',
}

/** How an attempt has ended. */
export interface AttemptEnd {
  result: Result<CallSummary, CallError>;
  /** Whether another node called the server. */
  isForwarded: boolean;
  /** Whether that node has acknowledged the request. */
  isAcknowledged: boolean;
  isPastDeadline: boolean;
}

/** An attempt that has ended. */
export interface EndedAttempt extends AttemptEnd {
  service: string;
  /** Empty when the server states none. */
  softwareVersion: string;
  route: string;
}

const classifyError = (
  { code, options }: CallError,
  { isForwarded, isAcknowledged, isPastDeadline }: AttemptEnd,
): AttemptVerdict => {
  switch (code) {
    // The node beside the server, or the server itself, states that its answer failed.
    case CallErrorCode.Shed:
    case CallErrorCode.TimedOut:
    case CallErrorCode.Truncated:
      return AttemptVerdict.Failure;
    case CallErrorCode.NoResponse: {
      // An error of the connection to another node says nothing about the server.
      const isLostLink = isForwarded && options.cause !== undefined;
      return isLostLink ? AttemptVerdict.None : AttemptVerdict.Failure;
    }
    case CallErrorCode.Cancelled: {
      const hasReachedNode = options.isWritten && (!isForwarded || isAcknowledged);
      return isPastDeadline && hasReachedNode ? AttemptVerdict.Failure : AttemptVerdict.None;
    }
    default:
      return AttemptVerdict.None;
  }
};

/**
 * Tells what an attempt says about the version of its server. Overload, lost links between nodes and
 * callers that leave say nothing: they would make a good version look bad in a burst or a cut.
 */
export const classifyAttempt = (attempt: AttemptEnd): AttemptVerdict =>
  attempt.result.match(
    ({ statusCode }) =>
      statusCode >= FIRST_SERVER_ERROR ? AttemptVerdict.Failure : AttemptVerdict.Success,
    (error) => classifyError(error, attempt),
  );

/** Returns the bucket of a duration: bucket i holds those below 2^((i + 1) / 2) ms. */
export const findBucket = (durationMs: number): number =>
  Math.min(BUCKET_COUNT - 1, Math.max(0, Math.floor(2 * Math.log2(durationMs))));

const COUNTED_STAGES = new Set([RolloutStage.CANARY, RolloutStage.PROMOTING]);

/** Counts of this node by service, software version and route; they grow until the process ends. */
export class EvidenceCollector {
  readonly #rollouts: Pick<RolloutHolder, 'listOf'>;

  readonly #metrics: MetricsRegistry;

  readonly #entries = new Map<string, VersionEvidence>();

  /** Copies for the reports, made anew after a change. */
  #copies: VersionEvidence[] | undefined = [];

  #isFull = false;

  constructor(rollouts: Pick<RolloutHolder, 'listOf'>, metrics: MetricsRegistry) {
    this.#rollouts = rollouts;
    this.#metrics = metrics;
  }

  /** Counts an attempt if a roll-out of its service is in progress. */
  record(attempt: EndedAttempt): void {
    const { service, softwareVersion, result } = attempt;
    const rollouts = this.#rollouts.listOf(service);
    if (softwareVersion === '' || !rollouts.some(({ stage }) => COUNTED_STAGES.has(stage))) return;
    const verdict = classifyAttempt(attempt);
    const entry = verdict === AttemptVerdict.None ? undefined : this.#getEntry(attempt);
    if (entry === undefined) return;
    this.#copies = undefined;
    entry.requests += 1n;
    if (verdict === AttemptVerdict.Failure) entry.failures += 1n;
    const labels = { service, software_version: softwareVersion, verdict };
    this.#metrics.counter('rollout_attempts', labels).value += 1;
    if (verdict !== AttemptVerdict.Success || result.isErr()) return;
    const bucket = findBucket(result.value.upstreamMs);
    const { durationCounts } = entry;
    while (durationCounts.length <= bucket) durationCounts.push(0);
    durationCounts[bucket] = (durationCounts[bucket] ?? 0) + 1;
  }

  /** Returns all counts; the array must not be modified. */
  list(): VersionEvidence[] {
    this.#copies ??= [...this.#entries.values()].map((entry) => ({
      ...entry,
      durationCounts: [...entry.durationCounts],
    }));
    return this.#copies;
  }

  #getEntry({ service, softwareVersion, route }: EndedAttempt): VersionEvidence | undefined {
    const key = JSON.stringify([service, softwareVersion, route]);
    const known = this.#entries.get(key);
    if (known) return known;
    if (this.#entries.size >= MAX_ENTRIES) {
      if (!this.#isFull) log.warn({ service, route, limit: MAX_ENTRIES }, 'evidence is incomplete');
      this.#isFull = true;
      return undefined;
    }
    const created = create(VersionEvidenceSchema, { service, softwareVersion, route });
    this.#entries.set(key, created);
    return created;
  }
}
