/** What this node observed of each backend server: in-flight requests, speed and failures. */
import type { Server } from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import type { ServerEntry } from '../../process/endpoints/types.js';

/** Weight of the newest sample in the moving averages. */
const SAMPLE_WEIGHT = 0.15;
/** Observations of a server that was not used for this long are dropped. */
const MAX_IDLE_MS = 60_000;

/** Observations of one server. */
export interface ServerObservation {
  inFlight: number;
  /** Latency relative to the mean of the same route over all servers; 1 is average. */
  relativeLatency: number;
  sampleCount: number;
  firstSeenAtMs: number;
  lastUsedAtMs: number;
  lastSuccessAtMs: number;
  /** Share of slots in use, as its node reported with a response. */
  reportedLoad: number;
  reportedLoadAtMs: number;
  /** Time for which the slots of the server are held, as its node reported; 0 when unknown. */
  reportedHoldMs: number;
  /** Requests of this node that the report includes. */
  inFlightAtReport: number;
  /** Last time its node refused a request for want of a slot. */
  lastRefusalAtMs: number;
}

/** A server message belongs to one record, so its key can be kept beside it. */
const cachedKeys = new WeakMap<Server, string>();

/** Returns the name of a server that is unique among all nodes. */
export const formatServerKey = (entry: ServerEntry): string => {
  const known = cachedKeys.get(entry.server);
  if (known !== undefined) return known;
  const key = `${entry.node.nodeId}/${entry.server.serverId}`;
  cachedKeys.set(entry.server, key);
  return key;
};

/**
 * Notes what the node beside a server says of its load.
 *
 * @param observation - of the server
 * @param report - share of slots in use, and the time for which they are held
 * @param inFlightAtReport - requests of this node that the report includes
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
  lastRefusalAtMs: 0,
});

/** Observations by server, and the mean latency by route that they are relative to. */
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
   * @param observation - of the server that responded
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

  /** Drops the observations of idle servers that were not used for a while. */
  removeIdle(nowMs: number): void {
    [...this.#byKey]
      .filter(
        ([, observation]) =>
          observation.inFlight === 0 && nowMs - observation.lastUsedAtMs > MAX_IDLE_MS,
      )
      .forEach(([key]) => this.#byKey.delete(key));
  }
}
