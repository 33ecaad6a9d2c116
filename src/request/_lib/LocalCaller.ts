import { err } from 'neverthrow';

import type { Result } from 'neverthrow';
import { CallError, CallErrorCode } from '../../connection/CallError/index.js';
import { createLogger } from '../../process/log/index.js';
import { ResponseKind } from '../httpDialect/index.js';

import type {
  CallSummary,
  ResponseHead,
  UpstreamCallOptions,
} from '../../connection/UpstreamCall/index.js';
import type { UpstreamPools } from '../../connection/UpstreamPools/index.js';
import type {
  GateRefusal,
  LimiterSample,
  LocalServer,
  SlotDemand,
} from '../../process/localServers/index.js';
import type { HttpDialect } from '../httpDialect/index.js';
import type { Exchange } from './Exchange.js';

const log = createLogger('local-calls');

const SERVICE_UNAVAILABLE = 503;
const SERVER_UNREACHABLE = 'SERVER_UNREACHABLE';
/** Pause after a failed connection; the server may be starting again. */
const UNREACHABLE_PAUSE_MS = 200;
/** Share of a route's mean latency below which hardly any of its requests completes. */
const LEAST_SERVICE_SHARE = 0.5;

/** What the node beside a server has to know of a request. */
export interface LocalWork {
  routeName: string;
  isIdempotent: boolean;
  isRetry: boolean;
  /** On the clock of the node. */
  deadlineMs: number;
  objectiveAtMs: number | undefined;
  /** 0 is the most urgent. */
  priority: number;
  isReturn: boolean;
  requestId: string;
}

/** Where a request goes; headers are created once a slot is taken, since they hold the time left. */
export interface LocalTarget {
  path: string;
  createHeaders: () => string[];
}

const toDemand = (local: LocalServer, work: LocalWork): SlotDemand => ({
  deadlineMs: work.deadlineMs,
  isRetry: work.isRetry,
  // Orders are as urgent as quick lookups, however long they take.
  isSlow: work.isIdempotent && local.latencies.isSlow(work.routeName),
  isBrief: work.isIdempotent && local.latencies.isBrief(work.routeName),
  minServiceMs: (local.latencies.get(work.routeName)?.floorMs ?? 0) * LEAST_SERVICE_SHARE,
  meanServiceMs: local.latencies.get(work.routeName)?.meanMs ?? 0,
  objectiveAtMs: work.objectiveAtMs,
  priority: work.priority,
  isReturn: work.isReturn,
});

/** Calls the backend servers beside this node, each within its slots. */
export default class LocalCaller {
  readonly #pools: UpstreamPools;

  readonly #dialect: HttpDialect;

  readonly #getNowMs: () => number;

  constructor(pools: UpstreamPools, dialect: HttpDialect, getNowMs: () => number) {
    this.#pools = pools;
    this.#dialect = dialect;
    this.#getNowMs = getNowMs;
  }

  /**
   * Takes a slot, calls the server and gives the slot back when the server is done.
   *
   * @param exchange - request and response
   * @param local - server beside this node
   * @param work - route, deadline and priority
   * @param target - path, and headers for the server
   * @param options - handling of the response head
   */
  async call(
    exchange: Exchange,
    local: LocalServer,
    work: LocalWork,
    target: LocalTarget,
    options: Omit<UpstreamCallOptions, 'isNode'> = {},
  ): Promise<Result<CallSummary, CallError>> {
    const nowMs = this.#getNowMs();
    if (nowMs < local.unreachableUntilMs) {
      const retryAfterMs = local.unreachableUntilMs - nowMs;
      const facts = { isWritten: false, retryAfterMs };
      return err(new CallError(CallErrorCode.Refused, SERVER_UNREACHABLE, facts));
    }
    const demand = toDemand(local, work);
    const refusal = await this.#takeSlot(exchange, local, demand);
    if (refusal !== undefined) {
      const code = exchange.isOver ? CallErrorCode.Cancelled : CallErrorCode.Refused;
      const retryAfterMs = local.gate.estimateWaitMs();
      return err(new CallError(code, refusal, { isWritten: false, retryAfterMs }));
    }
    const { server, gate } = local;
    const startedAtMs = performance.now();
    const inFlight = gate.used;
    const pool = work.isIdempotent
      ? this.#pools.get(server.address, server.connections)
      : this.#pools.openSingle(server.address);
    const { path } = target;
    const result = await exchange.call(
      pool,
      { path, headers: target.createHeaders() },
      {
        ...options,
        isNode: false,
        judge: (head) => this.#judge(head, work),
      },
    );
    if (!work.isIdempotent) this.#pools.closeSingle(pool);
    const heldMs = performance.now() - startedAtMs;
    this.#noteReachable(exchange, local, result);
    const sample = this.#learn(exchange, local, work.routeName, { inFlight, result });
    gate.release(demand, heldMs, this.#getNowMs(), sample);
    return result;
  }

  /** Recognizes a server that did not run the request, and bytes that do not answer it. */
  #judge(head: ResponseHead, work: LocalWork): CallError | undefined {
    switch (this.#dialect.classifyResponse(head, work.requestId)) {
      case ResponseKind.NotRun: {
        const message = `the server answered ${head.statusCode}: not run`;
        const options = { isWritten: true, isServerRefusal: true };
        return new CallError(CallErrorCode.Refused, message, options);
      }
      case ResponseKind.Foreign: {
        const message = 'the response does not belong to the request';
        return new CallError(CallErrorCode.NoResponse, message, { isWritten: true });
      }
      default:
        return undefined;
    }
  }

  /** A server that refuses or ignores a connection is not tried again for a moment. */
  #noteReachable(
    exchange: Exchange,
    target: LocalServer,
    result: Result<CallSummary, CallError>,
  ): void {
    const local = target;
    const isUnreachable =
      result.isErr() && result.error.code === CallErrorCode.NotWritten && !exchange.isOver;
    local.unreachableUntilMs = isUnreachable ? this.#getNowMs() + UNREACHABLE_PAUSE_MS : 0;
    if (isUnreachable) {
      const { serverId, address } = local.server;
      const reason = result.error.message;
      log.warn({ serverId, address, reason }, 'the server beside this node accepts no connection');
    }
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
