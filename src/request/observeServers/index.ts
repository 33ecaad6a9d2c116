/** Statistics of this node about each backend server: requests in flight, latency and load. */
import type { Server } from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import type { ServerEntry } from '../../process/endpoints/types.js';

/** Weight of the newest sample in the moving averages. */
const SAMPLE_WEIGHT = 0.15;
/** Observations of a server that was not used for this long are removed. */
const MAX_IDLE_MS = 60_000;

/** What the node beside a server reports of its work. */
export interface WorkReport {
  /** Share of the slots in use, waiting requests included. */
  load: number;
  /** Expected time until a slot is free for a new request, in milliseconds, by its priority. */
  waitsMs: readonly number[];
  /** Time that the server takes for requests, relative to the mean of its service; 0 when unknown. */
  pace: number;
  /** Time of the report, on the clock of this node. */
  atMs: number;
}

/**
 * Priorities for which waits are reported: three of routes for each of three of workspaces. Those in
 * between wait as long as the next more urgent one that is reported.
 */
export const REPORTED_PRIORITIES = [0, 1, 2, 10, 11, 12, 20, 21, 22];

/** Returns the wait for a request of a priority; a report leaves out waits that equal the last one. */
export const getReportedWaitMs = ({ waitsMs }: WorkReport, priority: number): number => {
  const level = REPORTED_PRIORITIES.findLastIndex((reported) => reported <= priority);
  return waitsMs[Math.min(Math.max(0, level), waitsMs.length - 1)] ?? 0;
};

/** Observations of one server. */
export interface ServerObservation {
  inFlight: number;
  /** Latency relative to the mean of the same route over all servers; 1 is average. */
  relativeLatency: number;
  sampleCount: number;
  firstSeenAtMs: number;
  lastUsedAtMs: number;
  lastSuccessAtMs: number;
  /** Share of slots in use, as reported by the server's node with a response. */
  reportedLoad: number;
  reportedLoadAtMs: number;
  /** Time that a request holds a slot, as reported by the server's node; 0 when unknown. */
  reportedHoldMs: number;
  /** Requests of this node that the reported load includes. */
  inFlightAtReport: number;
  /** Newest report of the work at the server; undefined before the first one. */
  work: WorkReport | undefined;
  /** Requests of this node that the newest report includes. */
  inFlightAtWork: number;
  /** Last time that the server's node refused a request because no slot was free. */
  lastRefusalAtMs: number;
  /** Requests per second that the server named in its last response; undefined without a limit. */
  maxRequestsPerSecond: number | undefined;
}

/** Cached keys; a server message belongs to one node record, so its key never changes. */
const cachedKeys = new WeakMap<Server, string>();

/** Returns the key of a server, which is unique among all nodes. */
export const formatServerKey = (entry: ServerEntry): string => {
  const known = cachedKeys.get(entry.server);
  if (known !== undefined) return known;
  const key = `${entry.node.nodeId}/${entry.server.serverId}`;
  cachedKeys.set(entry.server, key);
  return key;
};

/**
 * Records the load that a server's node reported.
 *
 * @param observation - observation of the server; updated in place
 * @param report - share of slots in use, and time that a request holds a slot
 * @param inFlightAtReport - requests of this node that the reported load includes
 * @param nowMs - present time in milliseconds since the epoch
 */
export const recordReport = (
  observation: ServerObservation,
  report: { load: number; holdMs: number },
  inFlightAtReport: number,
  nowMs: number,
): void => {
  Object.assign(observation, {
    reportedLoad: report.load,
    reportedHoldMs: report.holdMs,
    reportedLoadAtMs: nowMs,
    inFlightAtReport,
  });
};

const createObservation = (nowMs: number): ServerObservation => ({
  inFlight: 0,
  relativeLatency: 1,
  sampleCount: 0,
  firstSeenAtMs: nowMs,
  lastUsedAtMs: nowMs,
  lastSuccessAtMs: 0,
  reportedLoad: 0,
  reportedLoadAtMs: 0,
  reportedHoldMs: 0,
  inFlightAtReport: 0,
  work: undefined,
  inFlightAtWork: 0,
  lastRefusalAtMs: 0,
  maxRequestsPerSecond: undefined,
});

/** Observations per server, and the mean latency per route that they are relative to. */
export class ServerObservations {
  readonly #byKey = new Map<string, ServerObservation>();

  readonly #meanLatencyMsByRoute = new Map<string, number>();

  /** Returns the observation of a server, created on first use. */
  get(key: string, nowMs: number): ServerObservation {
    const known = this.#byKey.get(key);
    if (known) return known;
    const created = createObservation(nowMs);
    this.#byKey.set(key, created);
    return created;
  }

  /**
   * Adds the latency of a complete response.
   *
   * @param observation - observation of the server that responded; updated in place
   * @param routeName - route of the request; routes differ in cost, so latencies are compared
   *   within a route only
   * @param latencyMs - time from sending the request to the end of the response
   * @param nowMs - present time in milliseconds since the epoch
   */
  addLatency(
    observation: ServerObservation,
    routeName: string,
    latencyMs: number,
    nowMs: number,
  ): void {
    const mean = this.#meanLatencyMsByRoute.get(routeName) ?? latencyMs;
    this.#meanLatencyMsByRoute.set(routeName, mean + SAMPLE_WEIGHT * (latencyMs - mean));
    const relative = mean > 0 ? latencyMs / mean : 1;
    const target = observation;
    target.relativeLatency += SAMPLE_WEIGHT * (relative - target.relativeLatency);
    target.sampleCount += 1;
    target.lastSuccessAtMs = nowMs;
  }

  /** Returns the mean latency of a route, in milliseconds, if it has been used. */
  getMeanLatencyMs(routeName: string): number | undefined {
    return this.#meanLatencyMsByRoute.get(routeName);
  }

  /** Removes the observations of servers without requests in flight that were not used recently. */
  removeIdle(nowMs: number): void {
    [...this.#byKey]
      .filter(
        ([, observation]) =>
          observation.inFlight === 0 && nowMs - observation.lastUsedAtMs > MAX_IDLE_MS,
      )
      .forEach(([key]) => this.#byKey.delete(key));
  }
}
