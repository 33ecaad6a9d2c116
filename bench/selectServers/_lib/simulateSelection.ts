import { create } from '@bufbuild/protobuf';
import { build } from 'hdr-histogram-js';

import {
  NodeRecordSchema,
  ServerSchema,
  ServerState,
} from '../../../src/_generated/foxtailvane/v1/endpoints_pb.js';
import { FailureRateBreaker } from '../../../src/request/breakCircuit/index.js';
import { ServerObservations, formatServerKey } from '../../../src/request/observeServers/index.js';

import type { ServerEntry } from '../../../src/process/endpoints/types.js';
import type { CircuitBreaker } from '../../../src/request/breakCircuit/index.js';
import type { ServerSelector } from '../../../src/request/selectServer/index.js';

const ENTRY_NODES = 12;
const SLOTS = 6;
const SERVICE_MS = 10;
const US_PER_MS = 1_000;
const START_MS = 1_000_000;
const ERROR_MS = 1;

/** Properties of a simulated server. */
export interface SimulatedServer {
  /** Service time relative to the fastest server. */
  slowness: number;
  /** Fraction of requests that fail after 1 ms. */
  failureShare?: number;
  dataCentre?: string;
}

export interface SimulationOptions {
  servers: SimulatedServer[];
  /** Offered load relative to the total capacity of all servers. */
  load: number;
  requests: number;
  random: () => number;
  createSelector: (parts: {
    observations: ServerObservations;
    breaker: CircuitBreaker;
  }) => ServerSelector;
}

export interface SimulationResult {
  p50Ms: number;
  p99Ms: number;
  failedShare: number;
  /** Fraction of all requests that each server received. */
  shares: number[];
}

interface Job {
  entryIndex: number;
  serverIndex: number;
  sentMs: number;
}

interface ScheduledEvent {
  atMs: number;
  run: () => void;
}

/** Simulates entry nodes that each select servers by their own observations only. */
export const simulateSelection = (options: SimulationOptions): SimulationResult => {
  const { random, servers } = options;
  const entries: ServerEntry[] = servers.map((server, index) => ({
    server: create(ServerSchema, {
      serverId: `s${index}`,
      service: 'desk',
      slots: SLOTS,
      state: ServerState.SERVING,
    }),
    node: create(NodeRecordSchema, {
      nodeId: `n${index}`,
      dataCentre: server.dataCentre ?? 'a',
    }),
  }));
  const nodes = Array.from({ length: ENTRY_NODES }, () => {
    const parts = { observations: new ServerObservations(), breaker: new FailureRateBreaker() };
    return { ...parts, selector: options.createSelector(parts) };
  });
  const queues = servers.map(() => ({ active: 0, waiting: [] as Job[] }));
  const histogram = build({
    highestTrackableValue: 600_000_000,
    numberOfSignificantValueDigits: 3,
  });
  const counts = servers.map(() => 0);
  const events: ScheduledEvent[] = [];
  let nowMs = START_MS;
  let failed = 0;
  const schedule = (afterMs: number, run: () => void): void => {
    const event = { atMs: nowMs + afterMs, run };
    let low = 0;
    let high = events.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((events[middle]?.atMs ?? 0) > event.atMs) low = middle + 1;
      else high = middle;
    }
    events.splice(low, 0, event);
  };
  const start = (job: Job): void => {
    const queue = queues[job.serverIndex];
    const server = servers[job.serverIndex];
    if (!queue || !server) return;
    queue.active += 1;
    const isFailure = random() < (server.failureShare ?? 0);
    const serviceMs = -Math.log(1 - random()) * SERVICE_MS * server.slowness;
    schedule(isFailure ? ERROR_MS : serviceMs, () => {
      queue.active -= 1;
      const node = nodes[job.entryIndex];
      const entry = entries[job.serverIndex];
      if (!node || !entry) return;
      const key = formatServerKey(entry);
      const observation = node.observations.get(key, nowMs);
      observation.inFlight -= 1;
      observation.reportedLoad = Math.min(1, (queue.active + queue.waiting.length) / SLOTS);
      observation.reportedLoadAtMs = nowMs;
      const latencyMs = nowMs - job.sentMs;
      if (isFailure) {
        failed += 1;
        node.breaker.addFailure(key, nowMs);
      } else {
        node.breaker.addSuccess(key, nowMs);
        node.observations.addLatency(observation, 'stock', latencyMs, nowMs);
        histogram.recordValue(Math.round(latencyMs * US_PER_MS));
      }
      const next = queue.waiting.shift();
      if (next) start(next);
    });
  };
  const arrive = (): void => {
    const entryIndex = Math.floor(random() * ENTRY_NODES);
    const node = nodes[entryIndex];
    const selection = node?.selector.select(entries, { service: 'desk', nowMs, random });
    if (!node || !selection) return;
    const serverIndex = entries.indexOf(selection.entry);
    const key = formatServerKey(selection.entry);
    counts[serverIndex] = (counts[serverIndex] ?? 0) + 1;
    node.observations.get(key, nowMs).inFlight += 1;
    node.breaker.addRequest(key, nowMs);
    const job = { entryIndex, serverIndex, sentMs: nowMs };
    const queue = queues[serverIndex];
    if (queue && queue.active < SLOTS) start(job);
    else queue?.waiting.push(job);
  };
  const capacityPerMs = servers.reduce(
    (sum, server) => sum + SLOTS / (SERVICE_MS * server.slowness),
    0,
  );
  let left = options.requests;
  const arriveNext = (): void => {
    arrive();
    left -= 1;
    if (left > 0) schedule(-Math.log(1 - random()) / (capacityPerMs * options.load), arriveNext);
  };
  schedule(0, arriveNext);
  let event = events.pop();
  while (event) {
    nowMs = event.atMs;
    event.run();
    event = events.pop();
  }
  return {
    p50Ms: histogram.getValueAtPercentile(50) / US_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / US_PER_MS,
    failedShare: failed / options.requests,
    shares: counts.map((count) => count / options.requests),
  };
};
