/** Reports of the work at servers, as nodes attach them to requests and answers between them. */
import { computeOccupancy } from '../../process/localServers/index.js';
import { REPORTED_PRIORITIES, formatServerKey } from '../observeServers/index.js';

import type { NodeRecord } from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import type { LocalServer } from '../../process/localServers/index.js';
import type { ServerObservation, ServerObservations, WorkReport } from '../observeServers/index.js';

/** Reports of other servers per message: about 45 bytes each, on links of a few Mbit/s. */
const RELAYED_REPORTS = 3;
/** Pause between two messages with reports, so that they take little of a link at high load. */
const MIN_INTERVAL_MS = 40;
/** Older reports say too little of a wait to be passed on. */
const MAX_AGE_MS = 600;
/** Reports that are kept to be passed on. */
const MAX_KEPT = 64;
const FIELD_SEPARATOR = '~';
const REPORT_SEPARATOR = ',';
const PACE_DIGITS = 2;
const WAIT_SEPARATOR = '.';
const MAX_WAIT_MS = 99_999;
const REPORT_PATTERN =
  /^(\d{1,3}(?:\.\d{1,4})?)~(\d{1,5}(?:\.\d{1,5}){0,8})~(\d{1,3}(?:\.\d{1,4})?)~(\d{1,7})(?:~(\d{1,7}))?(~c)?$/;
const CALL_SUFFIX = '~c';

/** Report of one server, with the cost of the request that it answered. */
export interface AnswerReport {
  report: WorkReport;
  /** Time for which the answered request held its slot, in milliseconds; 0 when unknown. */
  heldMs: number;
  /** Mean of its route over all servers, as the server's node knows it; 0 when unknown. */
  meanMs: number;
  /** Whether the answered request was a call of a running one. */
  isCall: boolean;
}

/** Formats waits without those at the end that are the same, as at a server with idle slots. */
const formatWaits = (waitsMs: readonly number[]): string => {
  const rounded = waitsMs.map((waitMs) => Math.min(MAX_WAIT_MS, Math.round(waitMs)));
  const lastDifferent = rounded.findLastIndex((waitMs) => waitMs !== rounded.at(-1));
  return rounded.slice(0, lastDifferent + 2).join(WAIT_SEPARATOR);
};

const formatFields = ({ load, waitsMs, pace }: WorkReport): string =>
  [load.toFixed(PACE_DIGITS), formatWaits(waitsMs), pace.toFixed(PACE_DIGITS)].join(
    FIELD_SEPARATOR,
  );

/** Parses the fields of a report and its last number; undefined if malformed. */
const parseFields = (
  text: string,
  nowMs: number,
): { report: WorkReport; last: number; meanMs: number; isCall: boolean } | undefined => {
  const match = REPORT_PATTERN.exec(text);
  if (!match) return undefined;
  const [, load, waits = '', pace, last, mean = '0', callSuffix] = match;
  return {
    report: {
      load: Number(load),
      waitsMs: waits.split(WAIT_SEPARATOR).map(Number),
      pace: Number(pace),
      atMs: nowMs,
    },
    last: Number(last),
    meanMs: Number(mean),
    isCall: callSuffix !== undefined,
  };
};

/** Decodes the key of a server; empty if malformed. */
const decodeKey = (text: string): string => {
  if (!text.includes('%')) return text;
  try {
    return decodeURIComponent(text);
  } catch {
    return '';
  }
};

const measured = new WeakMap<LocalServer, WorkReport>();

/** Measures the work at a server at most once a millisecond, since it is reported in each message. */
const measure = (local: LocalServer, nowMs: number, delayMs = 0): WorkReport => {
  const known = measured.get(local);
  if (known?.atMs === nowMs) return known;
  const { gate } = local;
  const report = {
    load: computeOccupancy(local, nowMs),
    waitsMs: REPORTED_PRIORITIES.map((priority) => {
      const demand = { deadlineMs: 0, isRetry: false, isSlow: false, priority };
      return gate.estimateRankedWaitMs(demand, nowMs) + delayMs;
    }),
    pace: gate.work?.isPaceKnown ? gate.work.estimatePace(nowMs) : 0,
    atMs: nowMs,
  };
  measured.set(local, report);
  return report;
};

/**
 * Formats the report of the server that answered a request.
 *
 * @param local - the server
 * @param request - time for which it held its slot, mean of its route, and whether it was a call
 * @param nowMs - present time in milliseconds
 * @param delayMs - delay of a request by the node itself, which is short of its processor
 */
export const formatAnswerReport = (
  local: LocalServer,
  { heldMs, meanMs, isCall }: Omit<AnswerReport, 'report'>,
  nowMs: number,
  delayMs = 0,
): string => {
  const report = formatFields(measure(local, nowMs, delayMs));
  const fields = [report, Math.round(heldMs), Math.round(meanMs)].join(FIELD_SEPARATOR);
  return isCall ? `${fields}${CALL_SUFFIX}` : fields;
};

/**
 * Parses the report of the server that answered a request.
 *
 * @param text - header value, if present
 * @param nowMs - present time in milliseconds
 * @returns the report; undefined when the value is absent or malformed
 */
export const parseAnswerReport = (
  text: string | undefined,
  nowMs: number,
): AnswerReport | undefined => {
  const parsed = parseFields(text ?? '', nowMs);
  if (!parsed) return undefined;
  const { report, last, meanMs, isCall } = parsed;
  return { report, heldMs: last, meanMs, isCall };
};

/** Records a report of a server unless a newer one is known. */
export const recordWork = (target: ServerObservation, report: WorkReport): boolean => {
  const observation = target;
  if (observation.work && observation.work.atMs >= report.atMs) return false;
  observation.work = report;
  // A request that was sent after the report is not part of it.
  const isUsedSince = observation.lastUsedAtMs >= report.atMs;
  observation.inFlightAtWork = Math.max(0, observation.inFlight - (isUsedSince ? 1 : 0));
  return true;
};

/**
 * Passes reports of servers on between the nodes of a data centre.
 *
 * An entry node with few requests a second hears of each server of a large service once in several
 * seconds, while load changes within a fraction of one. Each request and each answer between nodes of one
 * data centre carries the reports of the sender's own servers and the newest that it knows of others.
 */
export class ReportExchange {
  readonly #observations: ServerObservations;

  readonly #listOwn: () => readonly LocalServer[];

  readonly #readOwnRecord: () => NodeRecord;

  readonly #readDelayMs: () => number;

  #sentAtMs = -MIN_INTERVAL_MS;

  /** Newest reports by server key, in the order in which they were learned. */
  readonly #newest = new Map<string, WorkReport>();

  /**
   * @param observations - observations of this node, which the reports update
   * @param localServers - the servers beside this node, and their record
   * @param readDelayMs - returns the delay of a request by this node itself, in milliseconds
   */
  constructor(
    observations: ServerObservations,
    localServers: { list: () => readonly LocalServer[]; record: () => NodeRecord },
    readDelayMs: () => number = () => 0,
  ) {
    this.#readDelayMs = readDelayMs;
    this.#observations = observations;
    this.#listOwn = () => localServers.list();
    this.#readOwnRecord = () => localServers.record();
  }

  /**
   * Records the report that came with an answer, to pass it on.
   *
   * @param key - key of the server
   * @param observation - observation of the server; updated in place
   * @param report - what its node reported
   */
  recordAnswer(key: string, observation: ServerObservation, report: WorkReport): void {
    if (!recordWork(observation, report)) return;
    // The answered request still counts as in flight here, but no longer at the server.
    Object.assign(observation, { inFlightAtWork: Math.max(0, observation.inFlight - 1) });
    this.#keep(key, report);
  }

  /**
   * Updates the observations of the own servers of a service.
   *
   * @param service - service that a server is selected of
   * @param nowMs - present time in milliseconds
   */
  observeOwn(service: string, nowMs: number): void {
    const node = this.#readOwnRecord();
    this.#listOwn()
      .filter(({ server }) => server.service === service)
      .forEach((local) => {
        const key = formatServerKey({ server: local.server, node });
        recordWork(this.#observations.get(key, nowMs), measure(local, nowMs));
      });
  }

  /**
   * Formats the reports for another node: those of the own servers, then the newest of others.
   *
   * @param nowMs - present time in milliseconds
   */
  format(nowMs: number): string {
    const node = this.#readOwnRecord();
    const own = this.#listOwn().map((local): [string, WorkReport] => [
      formatServerKey({ server: local.server, node }),
      measure(local, nowMs, this.#readDelayMs()),
    ]);
    const others = [...this.#newest]
      .slice(-RELAYED_REPORTS)
      .filter(([, { atMs }]) => nowMs - atMs <= MAX_AGE_MS);
    return [...own, ...others]
      .map(([key, report]) => {
        const fields = [
          encodeURIComponent(key),
          formatFields(report),
          Math.round(nowMs - report.atMs),
        ];
        return fields.join(FIELD_SEPARATOR);
      })
      .join(REPORT_SEPARATOR);
  }

  /**
   * Records the reports of another node.
   *
   * @param text - header value, if present; malformed reports are left out
   * @param nowMs - present time in milliseconds
   */
  absorb(text: string | undefined, nowMs: number): void {
    if (text === undefined) return;
    const ownPrefix = `${this.#readOwnRecord().nodeId}/`;
    text.split(REPORT_SEPARATOR).forEach((item) => {
      const keyEnd = item.indexOf(FIELD_SEPARATOR);
      const key = decodeKey(item.slice(0, Math.max(0, keyEnd)));
      const parsed = parseFields(item.slice(keyEnd + 1), nowMs);
      if (!parsed || key === '' || key.startsWith(ownPrefix)) return;
      const report = { ...parsed.report, atMs: nowMs - parsed.last };
      if (recordWork(this.#observations.get(key, nowMs), report)) this.#keep(key, report);
    });
  }

  /**
   * Formats the reports for another node unless some were sent just before.
   *
   * @param nowMs - present time in milliseconds
   */
  formatIfDue(nowMs: number): string | undefined {
    if (nowMs - this.#sentAtMs < MIN_INTERVAL_MS) return undefined;
    this.#sentAtMs = nowMs;
    return this.format(nowMs);
  }

  #keep(key: string, report: WorkReport): void {
    this.#newest.delete(key);
    this.#newest.set(key, report);
    if (this.#newest.size <= MAX_KEPT) return;
    const [oldest] = this.#newest.keys();
    if (oldest !== undefined) this.#newest.delete(oldest);
  }
}
