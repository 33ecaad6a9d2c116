/** Replays a load over the decision modules of entry nodes and servers, in simulated time. */
import { create } from '@bufbuild/protobuf';

import {
  NodeRecordSchema,
  ServerSchema,
  ServerState,
} from '../../src/_generated/foxtailvane/v1/endpoints_pb.js';
import {
  ExpectedCostPolicy,
  FixedLimiter,
  ObjectivePolicy,
  RouteCosts,
  ServerWork,
  SlotGate,
} from '../../src/process/localServers/index.js';
import { FailureRateBreaker } from '../../src/request/breakCircuit/index.js';
import {
  ServerObservations,
  formatServerKey,
  recordReport,
} from '../../src/request/observeServers/index.js';
import { ExpectedCostSelector, LeastDelaySelector } from '../../src/request/selectServer/index.js';
import {
  formatAnswerReport,
  parseAnswerReport,
  recordWork,
} from '../../src/request/shareReports/index.js';

import type { LocalServer } from '../../src/process/localServers/index.js';
import type { ServerEntry } from '../../src/process/endpoints/types.js';

const ENTRY_NODES = 24;
const MAX_TRIES = 3;

export interface LoadRequest {
  atMs: number;
  service: string;
  route: string;
  workMs: number;
  objectiveMs: number;
  deadlineMs: number;
  priority?: number;
  /** Calls that it makes one after the other once its own work is done. */
  calls?: Omit<LoadRequest, 'atMs'>[];
}

export interface LoadServers {
  service: string;
  slots: number;
  /** Time that each server takes for requests, relative to the work. */
  paces: number[];
}

/** Result of each request, in the order of arrival: when it ended, and whether it was answered. */
export interface LoadResult {
  request: LoadRequest;
  endedAtMs: number;
  isAnswered: boolean;
}

interface SimulatedServer {
  entry: ServerEntry;
  local: LocalServer;
  pace: number;
}

/**
 * Replays a load.
 *
 * @param load - servers and requests
 * @param options - whether placement is by expected cost, and the source of randomness
 */
const replayLoad = (
  { servers, requests }: { servers: LoadServers[]; requests: LoadRequest[] },
  { isByCost, random }: { isByCost: boolean; random: () => number },
): LoadResult[] => {
  let nowMs = 0;
  const events: { atMs: number; run: () => void }[] = [];
  const schedule = (atMs: number, run: () => void): void => {
    const index = events.findLastIndex((event) => event.atMs <= atMs);
    events.splice(index + 1, 0, { atMs, run });
  };
  const costs = new RouteCosts();
  const simulated = servers.flatMap(({ service, slots, paces }) =>
    paces.map((pace, index): SimulatedServer => {
      const id = `${service}-${index}`;
      const server = create(ServerSchema, {
        serverId: id,
        service,
        slots,
        state: ServerState.SERVING,
      });
      const node = create(NodeRecordSchema, { nodeId: id, dataCentre: 'a', servers: [server] });
      const gate = new SlotGate({
        slots,
        limiter: new FixedLimiter(slots),
        policy: isByCost ? new ExpectedCostPolicy() : new ObjectivePolicy(),
        work: isByCost ? new ServerWork(costs) : undefined,
      });
      const local = { server, gate, hint: undefined, unreachableUntilMs: 0 } as LocalServer;
      return { entry: { server, node }, local, pace };
    }),
  );
  const entryNodes = Array.from({ length: ENTRY_NODES }, () => {
    const observations = new ServerObservations();
    const parts = {
      observations,
      breaker: new FailureRateBreaker(),
      dataCentre: 'a',
      nodeId: 'entry',
    };
    return {
      observations,
      selector: isByCost
        ? new ExpectedCostSelector({ ...parts, routeCosts: costs })
        : new LeastDelaySelector(parts),
    };
  });
  const send = (
    request: LoadRequest,
    deadlineMs: number,
    isCall: boolean,
    onEnded: (isAnswered: boolean) => void,
    tried: ServerEntry[] = [],
  ): void => {
    const node = entryNodes[Math.floor(random() * ENTRY_NODES)];
    const candidates = simulated
      .map(({ entry }) => entry)
      .filter((entry) => entry.server.service === request.service && !tried.includes(entry));
    const context = { service: request.service, routeName: request.route, nowMs, random };
    const chosen = node?.selector.select(candidates, {
      ...context,
      priority: request.priority ?? 0,
    });
    const server = simulated.find(({ entry }) => entry === chosen?.entry);
    if (!node || !server || tried.length >= MAX_TRIES || nowMs >= deadlineMs) {
      onEnded(false);
      return;
    }
    const { gate } = server.local;
    const observation = node.observations.get(formatServerKey(server.entry), nowMs);
    observation.inFlight += 1;
    observation.lastUsedAtMs = nowMs;
    const demand = {
      deadlineMs,
      objectiveAtMs: request.atMs + request.objectiveMs,
      meanServiceMs: costs.getMeanMs(request.route) ?? request.workMs,
      priority: request.priority ?? 0,
      routeName: request.route,
      isRetry: false,
      isSlow: false,
      isBrief: isCall,
      isCall: isByCost && isCall,
    };
    const finish = (startedAtMs: number, isAnswered: boolean): void => {
      const heldMs = nowMs - startedAtMs;
      gate.release(
        demand,
        heldMs,
        nowMs,
        isAnswered ? { relativeCost: 1, inFlight: 1, isOverload: false } : undefined,
      );
      observation.inFlight -= 1;
      if (isAnswered) costs.addAnswer(request.route, heldMs);
      recordReport(
        observation,
        { load: (gate.used + gate.waiting) / gate.capacity, holdMs: gate.estimateHoldMs(nowMs) },
        observation.inFlight,
        nowMs,
      );
      const answer = parseAnswerReport(
        formatAnswerReport(server.local, { heldMs, isCall, meanMs: 0 }, nowMs),
        nowMs,
      );
      if (answer) recordWork(observation, answer.report);
      onEnded(isAnswered);
    };
    const runCalls = (startedAtMs: number, calls: Omit<LoadRequest, 'atMs'>[]): void => {
      const [next, ...rest] = calls;
      if (!next || nowMs >= deadlineMs) {
        finish(startedAtMs, nowMs < deadlineMs);
        return;
      }
      const call = { ...next, atMs: nowMs };
      send(call, Math.min(deadlineMs, nowMs + next.deadlineMs), true, (isAnswered) =>
        isAnswered ? runCalls(startedAtMs, rest) : finish(startedAtMs, false),
      );
    };
    gate.admit(demand, nowMs, (refusal) => {
      if (refusal !== undefined) {
        observation.inFlight -= 1;
        observation.lastRefusalAtMs = nowMs;
        send(request, deadlineMs, isCall, onEnded, [...tried, server.entry]);
        return;
      }
      const startedAtMs = nowMs;
      const endsAtMs = Math.min(deadlineMs, nowMs + request.workMs * server.pace);
      schedule(endsAtMs, () => runCalls(startedAtMs, request.calls ?? []));
    });
  };
  const results: LoadResult[] = [];
  requests.forEach((request) =>
    schedule(request.atMs, () =>
      send(request, request.atMs + request.deadlineMs, false, (isAnswered) =>
        results.push({ request, endedAtMs: nowMs, isAnswered }),
      ),
    ),
  );
  const refuseLate = (): void =>
    simulated.forEach(({ local }) => local.gate.refuseLateWaiters(nowMs));
  for (let event = events.shift(); event; event = events.shift()) {
    nowMs = event.atMs;
    event.run();
    refuseLate();
  }
  return results;
};

export default replayLoad;
