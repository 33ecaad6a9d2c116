import { err } from 'neverthrow';

import type { Result } from 'neverthrow';
import { CallError, CallErrorCode } from '../../connection/CallError/index.js';

import type { CallSummary, UpstreamCallOptions } from '../../connection/UpstreamCall/index.js';
import type { UpstreamPools } from '../../connection/UpstreamPools/index.js';
import type {
  GateRefusal,
  LimiterSample,
  LocalServer,
  SlotDemand,
} from '../../process/localServers/index.js';
import type { Exchange } from './Exchange.js';

const SERVICE_UNAVAILABLE = 503;
/** Share of a route's mean latency below which hardly any of its requests completes. */
const LEAST_SERVICE_SHARE = 0.5;

/** What the node beside a server has to know of a request. */
export interface LocalWork {
  routeName: string;
  isIdempotent: boolean;
  isRetry: boolean;
  /** In milliseconds since the epoch. */
  deadlineMs: number;
}

const toDemand = (local: LocalServer, work: LocalWork): SlotDemand => ({
  deadlineMs: work.deadlineMs,
  isRetry: work.isRetry,
  // Orders are as urgent as quick lookups, however long they take.
  isSlow: work.isIdempotent && local.latencies.isSlow(work.routeName),
  leastServiceMs: (local.latencies.get(work.routeName)?.floorMs ?? 0) * LEAST_SERVICE_SHARE,
});

/** Calls the backend servers beside this node, each within its slots. */
export default class LocalCaller {
  readonly #pools: UpstreamPools;

  readonly #getNowMs: () => number;

  constructor(pools: UpstreamPools, getNowMs: () => number) {
    this.#pools = pools;
    this.#getNowMs = getNowMs;
  }

  /**
   * Takes a slot, calls the server and gives the slot back when the server is done.
   *
   * @param exchange - request and response
   * @param local - server beside this node
   * @param work - route, deadline and priority
   * @param target - path and headers for the server
   * @param options - handling of the response head
   */
  async call(
    exchange: Exchange,
    local: LocalServer,
    work: LocalWork,
    target: { path: string; headers: string[] },
    options: Omit<UpstreamCallOptions, 'isNode'> = {},
  ): Promise<Result<CallSummary, CallError>> {
    const demand = toDemand(local, work);
    const refusal = await this.#takeSlot(exchange, local, demand);
    if (refusal !== undefined) {
      const code = exchange.isOver ? CallErrorCode.Cancelled : CallErrorCode.Refused;
      return err(new CallError(code, refusal, { isWritten: false }));
    }
    const { server, gate } = local;
    const startedAtMs = performance.now();
    const inFlight = gate.used;
    const pool = this.#pools.get(server.address, server.connections);
    const result = await exchange.call(pool, target, { ...options, isNode: false });
    const heldMs = performance.now() - startedAtMs;
    const sample = this.#learn(exchange, local, work.routeName, { inFlight, result });
    gate.release(demand, heldMs, this.#getNowMs(), sample);
    return result;
  }

  #learn(
    exchange: Exchange,
    local: LocalServer,
    routeName: string,
    call: { inFlight: number; result: Result<CallSummary, CallError> },
  ): LimiterSample | undefined {
    const { inFlight, result } = call;
    if (result.isErr()) {
      const isOverload = exchange.isPastDeadline && result.error.options.isWritten;
      return isOverload ? { relativeCost: 1, inFlight, isOverload } : undefined;
    }
    const { statusCode, upstreamMs } = result.value;
    if (statusCode === SERVICE_UNAVAILABLE) {
      return { relativeCost: 1, inFlight, isOverload: true };
    }
    local.latencies.add(routeName, upstreamMs);
    const relativeCost = local.latencies.getRelativeCost(routeName);
    return { relativeCost, inFlight, isOverload: false };
  }

  /** Resolves with the reason if no slot was taken. */
  #takeSlot(
    exchange: Exchange,
    local: LocalServer,
    demand: SlotDemand,
  ): Promise<GateRefusal | 'GIVEN_UP' | undefined> {
    return new Promise((resolve) => {
      let unsubscribe = () => {};
      const withdraw = local.gate.admit(demand, this.#getNowMs(), (refusal) => {
        unsubscribe();
        resolve(refusal);
      });
      unsubscribe = exchange.onGivenUp(() => {
        withdraw();
        resolve('GIVEN_UP');
      });
    });
  }
}
