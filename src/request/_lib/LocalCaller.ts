import { err } from 'neverthrow';

import type { Result } from 'neverthrow';
import { CallError, CallErrorCode } from '../../connection/CallError/index.js';
import { createLogger } from '../../process/log/index.js';
import { ResponseKind } from '../httpDialect/index.js';
import recordDiscard, { DiscardReason } from '../recordDiscard/index.js';
import { TrialOutcome } from '../trackCrashes/index.js';

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
  SlotGate,
} from '../../process/localServers/index.js';
import type { Exchange } from './Exchange.js';
import type { CrashDetector, CrashLedger } from '../trackCrashes/index.js';
import type CallRoutes from '../recognizeCalls/index.js';
import type { RequestContext } from './RequestContext.js';

const log = createLogger('local-calls');

const FIRST_SERVER_ERROR = 500;
const SERVICE_UNAVAILABLE = 503;
const SERVER_UNREACHABLE = 'SERVER_UNREACHABLE';
/** Reason for a request under which too many servers have ended. */
const CRASHES_SERVERS = 'CRASHES_SERVERS';
/** Pause after a failed connection, during which the server may be restarting. */
const UNREACHABLE_BACKOFF_MS = 200;
/** Share of a route's latency without queueing below which hardly any request completes. */
const MIN_SERVICE_TIME_SHARE = 0.5;

/** Metadata of a request to a local server. */
export interface LocalRequest {
  routeName: string;
  isIdempotent: boolean;
  isRetry: boolean;
  /** In milliseconds since the epoch, on the clock of this node. */
  deadlineMs: number;
  /** Latest time for a response within the target latency; undefined when the route has none. */
  objectiveAtMs: number | undefined;
  /** 0 is the most urgent. */
  priority: number;
  /** Workspace that sends the request; undefined on routes that need no key. */
  workspace?: string | undefined;
  /** Whether the request probably repeats a refused one. */
  isReturn: boolean;
  requestId: string;
  /** Service on the VM of the entry node; empty when there is none. */
  callerService: string;
  /** Returns why the key of the request admits it no longer; undefined for a request without a key. */
  findKeyFault?: (() => string | undefined) | undefined;
}

/** A request that is admitted to a local server. */
interface AdmittedRequest extends LocalRequest {
  /** Whether the request is tried although it is suspected of crashing servers. */
  isTrial: boolean;
}

/** Path and headers; headers hold the remaining time, so they are created once a slot is acquired. */
export interface LocalTarget {
  path: string;
  createHeaders: () => string[];
}

const createDemand = (
  local: LocalServer,
  localRequest: LocalRequest,
  isCall: boolean,
): SlotDemand => ({
  deadlineMs: localRequest.deadlineMs,
  isRetry: localRequest.isRetry,
  routeName: localRequest.routeName,
  // Non-idempotent requests, such as orders, count as urgent however long they take.
  isSlow: localRequest.isIdempotent && local.latencies.isSlow(localRequest.routeName),
  isBrief: localRequest.isIdempotent && local.latencies.isBrief(localRequest.routeName),
  minServiceMs:
    (local.latencies.get(localRequest.routeName)?.floorMs ?? 0) * MIN_SERVICE_TIME_SHARE,
  meanServiceMs: local.latencies.get(localRequest.routeName)?.meanMs ?? 0,
  objectiveAtMs: localRequest.objectiveAtMs,
  priority: localRequest.priority,
  workspace: localRequest.workspace,
  isReturn: localRequest.isReturn,
  isCall,
});

/** Detection of servers that end, and what all nodes know about the requests behind it. */
export interface CrashTracking {
  detector: CrashDetector;
  ledger: CrashLedger;
}

export type LocalCallerContext = Pick<
  RequestContext,
  'dialect' | 'localServers' | 'metrics' | 'getNowMs'
>;

/** Reasons for which a response does not count as the answer to its request. */
const DISCARD_REASONS: Partial<Record<ResponseKind, DiscardReason>> = {
  [ResponseKind.AnotherId]: DiscardReason.AnotherId,
  [ResponseKind.NoId]: DiscardReason.NoId,
  [ResponseKind.Unsigned]: DiscardReason.NoSignature,
};

/** Name of undici's errors for bytes that are not HTTP, of which some have no code. */
const PARSER_ERROR_NAME = 'HTTPParserError';

/** Returns whether a call failed since the server sent something other than HTTP. */
const isNotHttp = ({ options: { cause } }: CallError): boolean =>
  cause instanceof Error && cause.name === PARSER_ERROR_NAME;

/** Error codes of a connection that the server's system closed or reset. */
const LOST_CONNECTION_CODES = new Set(['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET']);

/** Returns whether the connection of a written request was lost before the response was complete. */
const isConnectionLost = (exchange: Exchange, { options }: CallError): boolean => {
  const cause = options.cause as { code?: unknown } | undefined;
  const isLost = typeof cause?.code === 'string' && LOST_CONNECTION_CODES.has(cause.code);
  return options.isWritten && isLost && !exchange.isAborted;
};

const judgeTrial = (exchange: Exchange, result: Result<CallSummary, CallError>): TrialOutcome =>
  result.match(
    () => TrialOutcome.Conclusive,
    (error) => {
      if (!error.options.isWritten || error.code === CallErrorCode.Refused)
        return TrialOutcome.NotRun;
      return isConnectionLost(exchange, error)
        ? TrialOutcome.Conclusive
        : TrialOutcome.Inconclusive;
    },
  );

const refuse = (reason: string): Result<never, CallError> =>
  err(new CallError(CallErrorCode.Refused, reason, { isWritten: false }));

/** Calls the local backend servers, each with no more concurrent requests than it has slots. */
export default class LocalCaller {
  readonly #pools: UpstreamPools;

  readonly #context: LocalCallerContext;

  /** Gates with a timer for their waiting requests. */
  readonly #admissionTimers = new WeakSet<SlotGate>();

  readonly #crashes: CrashTracking;

  /** Set when requests are let in by expected cost. */
  readonly #callRoutes: CallRoutes | undefined;

  constructor(
    pools: UpstreamPools,
    context: LocalCallerContext,
    crashes: CrashTracking,
    callRoutes?: CallRoutes,
  ) {
    this.#pools = pools;
    this.#context = context;
    this.#crashes = crashes;
    this.#callRoutes = callRoutes;
  }

  /**
   * Acquires a slot, calls the server and releases the slot when the call ends.
   *
   * @param exchange - request and response
   * @param local - local server
   * @param localRequest - metadata of the request, such as route, deadline and priority
   * @param target - path, and headers for the server
   * @param options - handling of the response head
   * @returns the status passed on, or the error when no slot was free or the call failed
   */
  async call(
    exchange: Exchange,
    local: LocalServer,
    localRequest: LocalRequest,
    target: LocalTarget,
    options: Omit<UpstreamCallOptions, 'isNode'> = {},
  ): Promise<Result<CallSummary, CallError>> {
    const nowMs = this.#context.getNowMs();
    if (nowMs < local.unreachableUntilMs) {
      const retryAfterMs = local.unreachableUntilMs - nowMs;
      const errorOptions = { isWritten: false, retryAfterMs };
      return err(new CallError(CallErrorCode.Refused, SERVER_UNREACHABLE, errorOptions));
    }
    const { ledger } = this.#crashes;
    const keyFault = localRequest.findKeyFault?.();
    if (keyFault !== undefined) return refuse(keyFault);
    const suspected = this.#listSuspected(exchange, target, localRequest);
    if (!ledger.isBlocked(suspected)) {
      const admitted = { ...localRequest, isTrial: false };
      return this.#callServer(exchange, local, admitted, target, options);
    }
    if (!ledger.beginTrial(suspected, nowMs)) {
      return refuse(CRASHES_SERVERS);
    }
    log.info({ requestId: localRequest.requestId }, 'suspected request is tried once more');
    const admitted = { ...localRequest, isTrial: true };
    const result = await this.#callServer(exchange, local, admitted, target, options);
    ledger.endTrial(suspected, judgeTrial(exchange, result), this.#context.getNowMs());
    return result;
  }

  /** Returns the fingerprints of a request; none while no request is suspected of crashing servers. */
  #listSuspected(
    exchange: Exchange,
    { path }: LocalTarget,
    { callerService }: LocalRequest,
  ): bigint[] {
    return this.#crashes.ledger.isEmpty ? [] : exchange.computeFingerprints(path, callerService);
  }

  /** Returns why a request that has waited for its slot must not be sent any more. */
  #findLateFault(
    exchange: Exchange,
    target: LocalTarget,
    admitted: AdmittedRequest,
  ): string | undefined {
    const suspected = admitted.isTrial ? [] : this.#listSuspected(exchange, target, admitted);
    const isBlocked = this.#crashes.ledger.isBlocked(suspected);
    return admitted.findKeyFault?.() ?? (isBlocked ? CRASHES_SERVERS : undefined);
  }

  async #callServer(
    exchange: Exchange,
    local: LocalServer,
    localRequest: AdmittedRequest,
    target: LocalTarget,
    options: Omit<UpstreamCallOptions, 'isNode'>,
  ): Promise<Result<CallSummary, CallError>> {
    const { path } = target;
    const { routeName, callerService } = localRequest;
    this.#callRoutes?.record(routeName, callerService);
    const isCall = this.#callRoutes?.isCallRoute(routeName) ?? false;
    const demand = createDemand(local, localRequest, isCall);
    const refusal = await this.#acquireSlot(exchange, local, demand);
    if (refusal !== undefined) {
      const code = exchange.canBeAnswered ? CallErrorCode.Refused : CallErrorCode.Cancelled;
      const retryAfterMs = local.gate.estimateWaitMs(this.#context.getNowMs());
      return err(new CallError(code, refusal, { isWritten: false, retryAfterMs }));
    }
    const { server, gate } = local;
    const lateFault = this.#findLateFault(exchange, target, localRequest);
    if (lateFault !== undefined) {
      gate.release(demand, 0, this.#context.getNowMs());
      return refuse(lateFault);
    }
    const startedAtMs = performance.now();
    const sentAtMs = this.#context.getNowMs();
    const inFlight = gate.used;
    const pool = localRequest.isIdempotent
      ? this.#pools.get(server.address, server.connections)
      : this.#pools.openSingle(server.address);
    const result = await exchange.call(
      pool,
      { path, headers: target.createHeaders() },
      {
        ...options,
        isNode: false,
        validateHead: (head) => {
          this.#readNotice(head, local, { requestId: localRequest.requestId, sentAtMs });
          return this.#checkResponse(head, local, localRequest);
        },
        validateHints: (headers) => this.#checkHints(headers, local, localRequest),
      },
    );
    if (!localRequest.isIdempotent) this.#pools.closeSingle(pool);
    const heldMs = performance.now() - startedAtMs;
    if (result.isErr() && isNotHttp(result.error))
      this.#recordDiscard(DiscardReason.NotHttp, local, { requestId: localRequest.requestId });
    this.#trackCrash(exchange, local, { path, localRequest, result });
    this.#updateReachability(exchange, local, result);
    const sample = this.#createSample(exchange, local, localRequest.routeName, {
      inFlight,
      result,
    });
    gate.release(demand, heldMs, this.#context.getNowMs(), sample);
    this.#scheduleAdmission(gate);
    return result;
  }

  /** Records a request that was lost with its connection, or the answer to a suspected one. */
  #trackCrash(
    exchange: Exchange,
    local: LocalServer,
    call: { path: string; localRequest: LocalRequest; result: Result<CallSummary, CallError> },
  ): void {
    const { path, localRequest, result } = call;
    const { detector, ledger } = this.#crashes;
    const { requestId, callerService } = localRequest;
    if (result.isOk()) {
      ledger.recordAnswer(exchange.computeFingerprints(path, callerService));
    } else if (isConnectionLost(exchange, result.error)) {
      const fingerprints = exchange.computeFingerprints(path, callerService);
      detector.recordLoss(local, { requestId, fingerprints });
    }
  }

  #readNotice(
    head: ResponseHead,
    local: LocalServer,
    { requestId, sentAtMs }: { requestId: string; sentAtMs: number },
  ): void {
    const { dialect, localServers, getNowMs } = this.#context;
    const notice = dialect.readServerNotice(head, requestId);
    if (notice) localServers.recordNotice(local, notice, { sentAtMs, nowMs: getNowMs() });
  }

  /** Returns an error if the server did not run the request or its response does not match it. */
  #checkResponse(
    head: ResponseHead,
    local: LocalServer,
    { requestId }: LocalRequest,
  ): CallError | undefined {
    const { statusCode } = head;
    const kind = this.#context.dialect.classifyResponse(head, requestId);
    if (kind === ResponseKind.NotRun) {
      const message = `the server answered ${statusCode}: not run`;
      const options = { isWritten: true, isServerRefusal: true };
      return new CallError(CallErrorCode.Refused, message, options);
    }
    const reason = DISCARD_REASONS[kind];
    if (reason === undefined) return undefined;
    this.#recordDiscard(reason, local, { requestId, statusCode });
    const message = `the response does not match the request: ${reason}`;
    return new CallError(CallErrorCode.NoResponse, message, { isWritten: true });
  }

  #checkHints(headers: string[], local: LocalServer, { requestId }: LocalRequest): boolean {
    const isOwn = this.#context.dialect.hasOwnHints(headers, requestId);
    if (!isOwn) this.#recordDiscard(DiscardReason.ForeignHints, local, { requestId });
    return isOwn;
  }

  #recordDiscard(
    reason: DiscardReason,
    { server: { address, serverId } }: LocalServer,
    call: { requestId: string; statusCode?: number },
  ): void {
    const { metrics, getNowMs } = this.#context;
    recordDiscard(metrics, { reason, address, serverId, ...call }, getNowMs());
  }

  /** Skips a server for a short time after a connection to it failed. */
  #updateReachability(
    exchange: Exchange,
    target: LocalServer,
    result: Result<CallSummary, CallError>,
  ): void {
    const local = target;
    const isUnreachable =
      result.isErr() && result.error.code === CallErrorCode.NotWritten && !exchange.isAborted;
    local.unreachableUntilMs = isUnreachable
      ? this.#context.getNowMs() + UNREACHABLE_BACKOFF_MS
      : 0;
    if (isUnreachable) {
      const { serverId, address } = local.server;
      const reason = result.error.message;
      log.warn({ serverId, address, reason }, 'connection to the local server failed');
    }
  }

  /** Updates the latencies of the route; returns a sample for the concurrency limiter. */
  #createSample(
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
    const isFailure = statusCode >= FIRST_SERVER_ERROR;
    return { relativeCost, inFlight, isOverload: false, isFailure };
  }

  /** Admits the requests that wait for the rate limit of a server as soon as it allows. */
  #scheduleAdmission(gate: SlotGate): void {
    if (this.#admissionTimers.has(gate)) return;
    const delayMs = gate.computeAdmissionDelayMs(this.#context.getNowMs());
    if (delayMs === undefined) return;
    const timer = setTimeout(
      () => {
        this.#admissionTimers.delete(gate);
        const nowMs = this.#context.getNowMs();
        gate.admitWaiters(nowMs);
        gate.refuseLateWaiters(nowMs);
        this.#scheduleAdmission(gate);
      },
      Math.max(1, delayMs),
    );
    timer.unref();
    this.#admissionTimers.add(gate);
  }

  /** Resolves with undefined once a slot is acquired, or with the reason why none was. */
  #acquireSlot(
    exchange: Exchange,
    local: LocalServer,
    demand: SlotDemand,
  ): Promise<GateRefusal | 'GIVEN_UP' | undefined> {
    return new Promise((resolve) => {
      let unsubscribe = () => {};
      const withdraw = local.gate.admit(demand, this.#context.getNowMs(), (refusal) => {
        unsubscribe();
        resolve(refusal);
      });
      unsubscribe = exchange.onDecided(() => {
        withdraw(this.#context.getNowMs());
        resolve('GIVEN_UP');
      });
      this.#scheduleAdmission(local.gate);
    });
  }
}
