import type { IncomingMessage, ServerResponse } from 'node:http';
import { createRateLimitedLogger } from '../../process/log/createRateLimitedLogger/index.js';
import { computeOccupancy } from '../../process/localServers/index.js';
import { UNFRAMED_HEADER } from '../../connection/UpstreamCall/index.js';
import { CallErrorCode } from '../../connection/CallError/index.js';
import type { CallError } from '../../connection/CallError/index.js';
import {
  ATTEMPT_HEADER,
  CALL_HEADER,
  DEADLINE_HEADER,
  GRANT_HEADER,
  GRANT_WANTED_HEADER,
  LIMIT_HEADER,
  KEY_HEADER,
  LOAD_HEADER,
  REPORTS_HEADER,
  WORK_HEADER,
  GRANT_UPDATE_HEADER,
  formatLoad,
  parseCallHeader,
  parseCount,
  parseGrantUpdate,
  parseKeyHeader,
  parseLimit,
} from './internalHeaders.js';
import { computeNodeDelayMs } from '../judgeWait/index.js';
import { formatAnswerReport } from '../shareReports/index.js';
import { BodyState, Exchange } from './Exchange.js';
import { createDrainRefusal, mayOutlastDrain } from './refuseLate.js';
import createKeyCheck from './createKeyCheck.js';
import { answerFailure } from './answerFailure.js';
import { RefusalReason, createNotRunRefusal, writeRefusal } from './writeRefusal.js';

import type { LocalServer } from '../../process/localServers/index.js';
import type BodyReader from './BodyReader.js';
import type LocalCaller from './LocalCaller.js';
import type { ForwardedCall } from './internalHeaders.js';
import type { SlotGrantor } from '../grantSlots/index.js';
import type { RequestContext } from './RequestContext.js';

/** Limit on log lines about failures; the counter of refusals in the metrics has no limit. */
const LINES_PER_SECOND = 20;

const failureLog = createRateLimitedLogger('owner', LINES_PER_SECOND);

/** A request waits for the event loop of this node twice: when it arrives and when it is answered. */
const EVENT_LOOP_WAITS_PER_REQUEST = 2;
const MAX_DEADLINE_MS = 600_000;

export interface OwnerHandlerDependencies {
  caller: LocalCaller;
  grantor: SlotGrantor;
  bodies: BodyReader;
}

/** Handles the requests that other nodes forward to the local servers of this node. */
export default class OwnerHandler {
  readonly #context: RequestContext;

  readonly #caller: LocalCaller;

  readonly #grantor: SlotGrantor;

  readonly #bodies: BodyReader;

  constructor(context: RequestContext, { caller, grantor, bodies }: OwnerHandlerDependencies) {
    this.#context = context;
    this.#grantor = grantor;
    this.#caller = caller;
    this.#bodies = bodies;
  }

  /**
   * Handles one forwarded request or grant update; the promise never rejects.
   *
   * @param request - request of another node
   * @param response - response to it
   * @param waitedMs - time since the request was received
   */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    waitedMs: number,
  ): Promise<void> {
    const { reservedHeaders } = this.#context.dialect;
    const exchange = new Exchange(request, response, { reservedHeaders, waitedMs });
    const update = exchange.internalHeaders.get(GRANT_UPDATE_HEADER);
    if (update !== undefined) {
      this.#handleGrantUpdate(response, update);
      return;
    }
    const call = parseCallHeader(exchange.internalHeaders.get(CALL_HEADER));
    if (!call) {
      const message = `header ${CALL_HEADER} is missing or malformed`;
      this.#refuse(
        exchange,
        createNotRunRefusal(RefusalReason.BadRequest, message, { statusCode: 400 }),
      );
      return;
    }
    const local = this.#context.localServers.find(call.serverId);
    if (!local) {
      const message = `server "${call.serverId}" is not announced to this node`;
      this.#refuse(exchange, createNotRunRefusal(RefusalReason.UnknownServer, message));
      return;
    }
    exchange.requestId = call.requestId;
    const limit = parseLimit(exchange.internalHeaders.get(LIMIT_HEADER));
    if (limit !== undefined) {
      this.#context.localServers.adoptLimit(local, limit, this.#context.getNowMs());
    }
    // Acknowledges the request to the entry node, however long the server takes to respond.
    response.writeProcessing();
    await this.#callServer(exchange, call, local, { path: request.url ?? '/', waitedMs });
  }

  async #callServer(
    exchange: Exchange,
    call: ForwardedCall,
    local: LocalServer,
    { path, waitedMs }: { path: string; waitedMs: number },
  ): Promise<void> {
    const nowMs = this.#context.getNowMs();
    const receivedAtMs = nowMs - waitedMs;
    const { costs } = this.#context;
    const remainingMs =
      parseCount(exchange.internalHeaders.get(DEADLINE_HEADER)) ?? MAX_DEADLINE_MS;
    const attempt = parseCount(exchange.internalHeaders.get(ATTEMPT_HEADER)) ?? 0;
    exchange.startDeadline(remainingMs - waitedMs);
    const body = await this.#bodies.read(exchange, path, call.callerService);
    if (body === BodyState.Incomplete) {
      answerFailure(exchange, undefined);
      return;
    }
    if (mayOutlastDrain(exchange, this.#context)) {
      this.#refuse(exchange, createDrainRefusal());
      return;
    }
    const key = parseKeyHeader(exchange.internalHeaders.get(KEY_HEADER));
    const workspace = key && { name: key.workspaceName };
    // An entry node with a version without workspaces passes the headers of callers on.
    if (this.#context.current()?.needsKeys)
      exchange.dropHeaders(this.#context.dialect.workspaceHeaders);
    const localRequest = {
      routeName: call.routeName,
      isIdempotent: call.isIdempotent,
      isRetry: attempt > 0,
      deadlineMs: receivedAtMs + remainingMs,
      objectiveAtMs: call.objectiveMs > 0 ? receivedAtMs + call.objectiveMs : undefined,
      priority: call.priority,
      workspace: workspace?.name,
      isReturn: call.isReturn,
      requestId: call.requestId,
      callerService: call.callerService,
      findKeyFault: createKeyCheck(this.#context, {
        version: call.version,
        workspace,
        keyId: key?.keyId,
        proofLeftMs: key?.proofLeftMs,
      }),
    };
    let startedAtMs: number | undefined;
    const createHeaders = (): string[] => {
      startedAtMs = this.#context.getNowMs();
      return [
        ...exchange.headers,
        ...this.#context.dialect.createServerHeaders({
          requestId: call.requestId,
          serverId: call.serverId,
          callerService: call.callerService,
          remainingMs: localRequest.deadlineMs - startedAtMs,
          workspace: workspace?.name,
          attempt,
        }),
      ];
    };
    const target = { path, createHeaders };
    costs?.exchange.absorb(exchange.internalHeaders.get(REPORTS_HEADER), nowMs);
    const result = await this.#caller.call(exchange, local, localRequest, target, {
      onUnframed: (head) => head.headers.push(UNFRAMED_HEADER, '1'),
      onHead: (head) => {
        head.headers.push(LOAD_HEADER, this.#formatLoad(local));
        head.headers.push(...this.#createWorkHeaders(exchange, local, { call, startedAtMs }));
        if (exchange.internalHeaders.has(GRANT_WANTED_HEADER)) this.#grantSlot(local, head.headers);
      },
    });
    if (result.isErr()) {
      if (!exchange.response.headersSent) this.#setLoadHeaders(exchange, local, call);
      answerFailure(exchange, result.error);
      this.#logFailure(exchange, call, local, { error: result.error, waitedMs });
      if (result.error.code === CallErrorCode.Refused) {
        this.#countRefusal(result.error.message);
      }
    }
  }

  #formatLoad(local: LocalServer): string {
    const nowMs = this.#context.getNowMs();
    const latenessMs = this.#context.readLatenessMs() * EVENT_LOOP_WAITS_PER_REQUEST;
    const holdMs = local.gate.estimateHoldMs(nowMs) + latenessMs;
    return formatLoad({ load: computeOccupancy(local, nowMs), holdMs });
  }

  /** Attaches the load to an answer of this node itself. */
  #setLoadHeaders(exchange: Exchange, local: LocalServer, call: ForwardedCall): void {
    const { response } = exchange;
    response.setHeader(LOAD_HEADER, this.#formatLoad(local));
    const work = this.#createWorkHeaders(exchange, local, { call, startedAtMs: undefined });
    work.forEach((name, index) => {
      const value = work[index + 1];
      if (index % 2 === 0 && value !== undefined) response.setHeader(name, value);
    });
  }

  /** Returns headers, as alternating names and values; a request with reports is answered with some. */
  #createWorkHeaders(
    exchange: Exchange,
    local: LocalServer,
    { call, startedAtMs }: { call: ForwardedCall; startedAtMs: number | undefined },
  ): string[] {
    const { costs } = this.#context;
    if (!costs) return [];
    const nowMs = this.#context.getNowMs();
    const heldMs = startedAtMs === undefined ? 0 : nowMs - startedAtMs;
    const meanMs = costs.routeCosts.getServiceMeanMs(call.routeName) ?? 0;
    const isCall = costs.callRoutes.isCallRoute(call.routeName);
    const delayMs = computeNodeDelayMs(this.#context.readLatenessMs());
    const own = [
      WORK_HEADER,
      formatAnswerReport(local, { heldMs, meanMs, isCall }, nowMs, delayMs),
    ];
    if (!exchange.internalHeaders.has(REPORTS_HEADER)) return own;
    return [...own, REPORTS_HEADER, costs.exchange.format(nowMs)];
  }

  #logFailure(
    exchange: Exchange,
    call: ForwardedCall,
    { gate }: LocalServer,
    { error, waitedMs }: { error: CallError; waitedMs: number },
  ): void {
    const nowMs = this.#context.getNowMs();
    failureLog.info(
      nowMs,
      () => ({
        requestId: call.requestId,
        serverId: call.serverId,
        entryNodeId: call.entryNodeId,
        route: call.routeName,
        version: call.version,
        objectiveMs: call.objectiveMs,
        priority: call.priority,
        isReturn: call.isReturn,
        code: error.code,
        reason: error.message,
        isWritten: error.options.isWritten,
        elapsedMs: Math.round(performance.now() - exchange.startedAtMs),
        waitedMs: Math.round(waitedMs),
        usedSlots: gate.used,
        waiting: gate.waiting,
        capacity: gate.capacity,
        maxRequestsPerSecond: gate.maxRequestsPerSecond,
        holdMs: Math.round(gate.estimateHoldMs(nowMs)),
      }),
      error.code === CallErrorCode.Refused
        ? 'forwarded request refused'
        : 'forwarded request failed',
    );
  }

  /** Grants a slot other than that of the answered request, which is still in use. */
  #grantSlot(local: LocalServer, headers: string[]): void {
    const id = this.#grantor.grant(local.gate, performance.now());
    if (id !== undefined) headers.push(GRANT_HEADER, id);
  }

  #handleGrantUpdate(response: ServerResponse, value: string): void {
    const { renewed, returned } = parseGrantUpdate(value);
    this.#grantor.release(returned, this.#context.getNowMs());
    const ids = this.#grantor.renew(renewed, performance.now());
    response.writeHead(204, [GRANT_UPDATE_HEADER, ids.join(',')]);
    response.end();
  }

  #refuse(exchange: Exchange, refusal: ReturnType<typeof createNotRunRefusal>): void {
    this.#countRefusal(refusal.reason);
    writeRefusal(exchange.response, refusal, { closesConnection: exchange.hasUnreadBody });
  }

  #countRefusal(reason: string): void {
    this.#context.metrics.counter('requests_refused', { at: 'owner', reason }).value += 1;
  }
}
