import { create } from '@bufbuild/protobuf';
import { CrashSuspectSchema, ServerState } from '../../_generated/foxtailvane/v1/endpoints_pb.js';

import type { CrashSuspect, NodeRecord } from '../../_generated/foxtailvane/v1/endpoints_pb.js';

/** A request under which so many servers ended is refused from then on. */
const MAX_CRASHES = 3;
/**
 * Crashes from which on a streamed request is identified before it is sent. A server may end once while
 * it runs any request; more crashes are needed than one, and fewer than lead to a refusal.
 */
const SUSPICIOUS_CRASHES = 2;
/** Time after the last crash until a suspect is tried once more: all nodes count the same by then. */
const TRIAL_DELAY_MS = 1_000;
/**
 * Trials at one node, of which all but the last ended without showing anything. Together with one more
 * at another node, after a restart, they stay within the three runs that are allowed after the crashes.
 */
const MAX_TRIALS = 2;
/** Crashes from which on an answer is published: before, only this node needs to know of it. */
const PUBLISHED_ANSWER_CRASHES = 2;
/** Time for which a suspect is remembered after the last crash. */
const RETENTION_MS = 600_000;
/** Limits the size of the node record, which every node stores. */
const MAX_PUBLISHED = 128;
/** Limits the memory; the suspects whose last crash is longest ago are forgotten first. */
const MAX_SUSPECTS = 4_096;
/** Number of answered requests that are remembered, in case they become suspects. */
const MAX_ANSWERED = 2_048;

interface Suspect {
  /** Servers that ended while they ran the request, by the node process that reported them. */
  crashesByReporter: Map<string, number>;
  /** Whether a server answered the request, which therefore does not crash servers by itself. */
  isAnswered: boolean;
  isAnsweredHere: boolean;
  lastCrashAtMs: number;
  /** Trials that a server beside this node has been given. */
  trialCount: number;
  /** When the last trial ended, if it was neither answered nor lost with the server. */
  inconclusiveAtMs: number;
  keptUntilMs: number;
}

/** What this node publishes about suspects in its record. */
export interface CrashReport {
  crashSuspects: CrashSuspect[];
  answeredSuspects: bigint[];
}

/** What a trial has shown. */
export enum TrialOutcome {
  /** The request did not reach a server. */
  NotRun = 'NOT_RUN',
  /** Answered, or lost with its connection. */
  Conclusive = 'CONCLUSIVE',
  /** The caller disconnected, or the deadline passed, while a server ran it. */
  Inconclusive = 'INCONCLUSIVE',
}

const formatReporter = ({ nodeId, incarnation }: NodeRecord): string => `${nodeId}/${incarnation}`;

const countCrashes = ({ crashesByReporter }: Suspect): number =>
  [...crashesByReporter.values()].reduce((sum, count) => sum + count, 0);

/**
 * Counts under which requests servers ended, over all nodes.
 *
 * When a server ends, every request that it was running is a suspect. A request that crashes its
 * servers is never answered, while the other suspects are, when they are repeated. A suspect that no
 * server has answered is refused, except for a trial at one node that reported it.
 */
export class CrashLedger {
  readonly #suspects = new Map<bigint, Suspect>();

  /** Requests that servers beside this node answered, the latest last. */
  readonly #answered = new Set<bigint>();

  #isReportStale = false;

  #isTrialRunning = false;

  /** Records are replaced on each change, so each is merged once. */
  readonly #mergedRecords = new WeakSet<NodeRecord>();

  /** Whether there is no suspect, so that no fingerprint needs to be computed. */
  get isEmpty(): boolean {
    return this.#suspects.size === 0;
  }

  /**
   * Records that a server beside this node ended.
   *
   * @param fingerprints - fingerprints of the requests that it was running
   * @param own - current record of this node
   * @param nowMs - present time in milliseconds
   */
  recordCrash(fingerprints: bigint[], own: NodeRecord, nowMs: number): void {
    const reporter = formatReporter(own);
    new Set(fingerprints).forEach((fingerprint) => {
      const suspect = this.#getSuspect(fingerprint, nowMs);
      const count = suspect.crashesByReporter.get(reporter) ?? 0;
      suspect.crashesByReporter.set(reporter, count + 1);
    });
    this.#isReportStale = true;
  }

  /** Records that a server beside this node answered a request. */
  recordAnswer(fingerprints: bigint[]): void {
    fingerprints.forEach((fingerprint) => {
      this.#answered.delete(fingerprint);
      this.#answered.add(fingerprint);
    });
    if (this.#answered.size > MAX_ANSWERED) this.#forgetOldestAnswers();
    fingerprints
      .flatMap((fingerprint) => this.#suspects.get(fingerprint) ?? [])
      .filter(({ isAnsweredHere }) => !isAnsweredHere)
      .forEach((suspect) => {
        Object.assign(suspect, { isAnswered: true, isAnsweredHere: true });
        this.#isReportStale = true;
      });
  }

  /** Merges what the nodes publish; keeps what a node that is no longer known has published. */
  merge(records: readonly NodeRecord[], nowMs: number): void {
    records
      .filter((record) => !this.#mergedRecords.has(record))
      .forEach((record) => this.#mergeRecord(record, nowMs));
  }

  /** Returns whether a request has crashed too many servers to be sent to another one. */
  isBlocked(fingerprints: bigint[]): boolean {
    return this.#findBlocking(fingerprints).length > 0;
  }

  /**
   * Returns whether requests like this one were running when servers ended, answered or not, so that
   * only its body can tell whether it is behind the crashes.
   *
   * @param fingerprints - fingerprints of a request whose body is not known yet
   */
  isSuspected(fingerprints: bigint[]): boolean {
    const mostSpecific = fingerprints.slice(-1);
    return mostSpecific
      .flatMap((fingerprint) => this.#suspects.get(fingerprint) ?? [])
      .some((suspect) => countCrashes(suspect) >= SUSPICIOUS_CRASHES);
  }

  /**
   * Returns the node at which a blocked request may be tried once more, so that one that was only in
   * progress during the crashes is told from the one behind them.
   *
   * @param fingerprints - fingerprints of a request that `isBlocked`
   * @param records - records of the known nodes
   * @param nowMs - present time in milliseconds
   * @returns id of a node that reported crashes and still runs; undefined when there is none, or
   *   when the last crash is too recent
   */
  findTrialNode(
    fingerprints: bigint[],
    records: readonly NodeRecord[],
    nowMs: number,
  ): string | undefined {
    const [suspect] = this.#findBlocking(fingerprints);
    const [fingerprint = 0n] = fingerprints;
    if (!suspect || nowMs < suspect.lastCrashAtMs + TRIAL_DELAY_MS) return undefined;
    const reporters = records
      .filter(
        (record) =>
          suspect.crashesByReporter.has(formatReporter(record)) &&
          record.servers.some(({ state }) => state === ServerState.SERVING),
      )
      .map(({ nodeId }) => nodeId)
      .toSorted();
    if (reporters.length === 0) return undefined;
    return reporters[Number(fingerprint % BigInt(reporters.length))];
  }

  /**
   * Takes the trial of a blocked request at this node. One trial runs at a time: two that ran beside
   * each other would be suspects of the same crash.
   *
   * @returns false if the request was tried already, not long ago without showing anything, or if
   *   another trial runs
   */
  beginTrial(fingerprints: bigint[], nowMs: number): boolean {
    const blocking = this.#findBlocking(fingerprints);
    const isDue = blocking.every(
      ({ trialCount, inconclusiveAtMs, lastCrashAtMs }) =>
        trialCount < MAX_TRIALS &&
        nowMs >= Math.max(lastCrashAtMs, inconclusiveAtMs) + TRIAL_DELAY_MS,
    );
    if (!isDue || this.#isTrialRunning) return false;
    this.#isTrialRunning = true;
    return true;
  }

  /**
   * Ends the trial that runs at this node.
   *
   * @param fingerprints - fingerprints of the request
   * @param outcome - what the trial has shown; unless it is conclusive, another one may follow
   * @param nowMs - present time in milliseconds
   */
  endTrial(fingerprints: bigint[], outcome: TrialOutcome, nowMs: number): void {
    this.#isTrialRunning = false;
    if (outcome === TrialOutcome.NotRun) return;
    const isConclusive = outcome === TrialOutcome.Conclusive;
    this.#findBlocking(fingerprints).forEach((target) => {
      const suspect = target;
      suspect.trialCount = isConclusive ? MAX_TRIALS : suspect.trialCount + 1;
      if (!isConclusive) suspect.inconclusiveAtMs = nowMs;
    });
  }

  #findBlocking(fingerprints: bigint[]): Suspect[] {
    return fingerprints
      .flatMap((fingerprint) => this.#suspects.get(fingerprint) ?? [])
      .filter((suspect) => !suspect.isAnswered && countCrashes(suspect) >= MAX_CRASHES);
  }

  /**
   * Creates the report of this node, with the newest suspects.
   *
   * @param own - current record of this node
   * @returns the report; undefined when it has not changed since the last call
   */
  takeReport(own: NodeRecord): CrashReport | undefined {
    if (!this.#isReportStale) return undefined;
    this.#isReportStale = false;
    const reporter = formatReporter(own);
    const newestFirst = [...this.#suspects].toReversed();
    return {
      crashSuspects: newestFirst
        .flatMap(([fingerprint, { crashesByReporter }]) => {
          const crashCount = crashesByReporter.get(reporter);
          if (crashCount === undefined) return [];
          return [create(CrashSuspectSchema, { fingerprint, crashCount })];
        })
        .slice(0, MAX_PUBLISHED),
      answeredSuspects: newestFirst
        .filter(
          ([, suspect]) =>
            suspect.isAnsweredHere && countCrashes(suspect) >= PUBLISHED_ANSWER_CRASHES,
        )
        .map(([fingerprint]) => fingerprint)
        .slice(0, MAX_PUBLISHED),
    };
  }

  /** Removes the suspects whose retention has ended. */
  expire(nowMs: number): void {
    [...this.#suspects]
      .filter(
        ([, { keptUntilMs }], index) =>
          keptUntilMs <= nowMs || index < this.#suspects.size - MAX_SUSPECTS,
      )
      .forEach(([fingerprint]) => {
        this.#suspects.delete(fingerprint);
        this.#isReportStale = true;
      });
  }

  #forgetOldestAnswers(): void {
    const oldestFirst = [...this.#answered];
    oldestFirst.slice(0, MAX_ANSWERED / 2).forEach((oldest) => this.#answered.delete(oldest));
  }

  #mergeRecord(record: NodeRecord, nowMs: number): void {
    this.#mergedRecords.add(record);
    const reporter = formatReporter(record);
    record.crashSuspects.forEach(({ fingerprint, crashCount }) => {
      const known = this.#suspects.get(fingerprint)?.crashesByReporter.get(reporter) ?? 0;
      if (crashCount <= known) return;
      const suspect = this.#getSuspect(fingerprint, nowMs);
      suspect.crashesByReporter.set(reporter, crashCount);
      // The answer of a server beside this node is published from the second crash on.
      if (suspect.isAnsweredHere) this.#isReportStale = true;
    });
    record.answeredSuspects.forEach((fingerprint) => {
      const suspect = this.#suspects.get(fingerprint) ?? this.#getSuspect(fingerprint, nowMs);
      suspect.isAnswered = true;
    });
  }

  /** Returns the suspect, as the newest, with its retention extended. */
  #getSuspect(fingerprint: bigint, nowMs: number): Suspect {
    const isAnswered = this.#answered.has(fingerprint);
    const suspect = this.#suspects.get(fingerprint) ?? {
      crashesByReporter: new Map<string, number>(),
      isAnswered,
      isAnsweredHere: isAnswered,
      lastCrashAtMs: nowMs,
      trialCount: 0,
      inconclusiveAtMs: 0,
      keptUntilMs: 0,
    };
    suspect.lastCrashAtMs = nowMs;
    suspect.keptUntilMs = nowMs + RETENTION_MS;
    this.#suspects.delete(fingerprint);
    this.#suspects.set(fingerprint, suspect);
    return suspect;
  }
}
