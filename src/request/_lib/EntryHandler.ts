import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Result } from 'neverthrow';
import { ServerState } from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import { CallErrorCode } from '../../connection/CallError/index.js';
import { createLogger } from '../../process/log/index.js';
import { formatServerKey } from '../observeServers/index.js';
import { BodyState, Exchange } from './Exchange.js';
import { answerFailure } from './answerFailure.js';
import {
  ATTEMPT_HEADER,
  CALL_HEADER,
  DEADLINE_HEADER,
  formatCallHeader,
  parseCount,
} from './callHeader.js';
import { parseTarget } from './parseTarget.js';
import pickTarget from './pickTarget.js';
import { RefusalReason, createNotRun, writeRefusal } from './writeRefusal.js';

import type { Route } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import type { CallError } from '../../connection/CallError/index.js';
import type { CallSummary } from '../../connection/UpstreamCall/index.js';
import type { UpstreamPools } from '../../connection/UpstreamPools/index.js';
import type { ServerEntry } from '../../process/endpoints/types.js';
import type { ServerSelector } from '../selectServer/index.js';
import type LocalCaller from './LocalCaller.js';
import type { RequestContext } from './RequestContext.js';
import type { Refusal } from './writeRefusal.js';

const log = createLogger('routing');

/** Attempts that certainly did not run may be placed on this many servers in all. */
const MAX_PLACEMENTS = 3;
/** Connections to one other node. */
const MAX_NODE_CONNECTIONS = 256;
const DEFAULT_TIMEOUT_MS = 30_000;

/** One request on its way to a server. */
interface RoutedRequest {
  exchange: Exchange;
  requestId: string;
  version: number;
  route: Route;
  service: string;
  /** Path with query. */
  path: string;
  deadlineMs: number;
  /** Attempts that outer layers already made. */
  outerAttempt: number;
}

export interface EntryHandlerParts {
  localCaller: LocalCaller;
  nodePools: UpstreamPools;
  selector: ServerSelector;
}

const isLive = ({ server, node }: ServerEntry): boolean =>
  server.state === ServerState.SERVING && !node.draining;

const isCertainlyNotRun = (error: CallError): boolean =>
  error.code === CallErrorCode.NotWritten || error.code === CallErrorCode.Refused;

/** Answers the requests of callers. */
export class EntryHandler {
  readonly #context: RequestContext;

  readonly #parts: EntryHandlerParts;

  #requestCount = 0;

  constructor(context: RequestContext, parts: EntryHandlerParts) {
    this.#context = context;
    this.#parts = parts;
  }

  /** Handles one request; never rejects. */
  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const exchange = new Exchange(request, response);
    const routed = this.#route(exchange, request);
    if ('reason' in routed) {
      this.#refuse(exchange, routed);
      return;
    }
    exchange.startDeadline(routed.deadlineMs - this.#context.getNowMs());
    const body = await exchange.readBody();
    if (body === BodyState.Incomplete) {
      answerFailure(exchange, undefined);
      return;
    }
    await this.#serve(routed);
  }

  #route(exchange: Exchange, request: IncomingMessage): RoutedRequest | Refusal {
    const compiled = this.#context.current();
    if (!compiled) {
      return createNotRun(RefusalReason.NoConfiguration, 'this node holds no configuration yet');
    }
    const target = parseTarget(request);
    if (!target) {
      const message = 'request target or host is malformed';
      return createNotRun(RefusalReason.BadRequest, message, { statusCode: 400 });
    }
    const route = compiled.matchRoute(target.host, target.path, exchange.method);
    if (!route) {
      const message = `no route for ${exchange.method} ${target.host} ${target.path}`;
      return createNotRun(RefusalReason.NoRoute, message, { statusCode: 404 });
    }
    const service = pickTarget(route, this.#context.random());
    const timeoutMs =
      route.timeoutMs || compiled.findService(service)?.timeoutMs || DEFAULT_TIMEOUT_MS;
    const callerMs = parseCount(exchange.internal.get(DEADLINE_HEADER)) ?? timeoutMs;
    this.#requestCount += 1;
    return {
      exchange,
      requestId: `${this.#context.nodeId}-${this.#requestCount.toString(36)}`,
      version: compiled.version,
      route,
      service,
      path: target.pathWithQuery,
      deadlineMs: this.#context.getNowMs() + Math.min(timeoutMs, callerMs),
      outerAttempt: parseCount(exchange.internal.get(ATTEMPT_HEADER)) ?? 0,
    };
  }

  async #serve(routed: RoutedRequest): Promise<void> {
    const tried = new Set<string>();
    let lastError: CallError | undefined;
    let runs = 0;
    while (tried.size < Math.max(MAX_PLACEMENTS, routed.route.maxAttempts)) {
      const entry = this.#select(routed, tried);
      if (!entry) break;
      const attempt = routed.outerAttempt + tried.size;
      tried.add(formatServerKey(entry));
      const result = await this.#attempt(routed, entry, attempt);
      if (result.isOk()) return;
      lastError = result.error;
      if (!isCertainlyNotRun(lastError)) runs += 1;
      if (!this.#mayRetry(routed, lastError, runs)) break;
    }
    this.#fail(routed, lastError);
  }

  #mayRetry(routed: RoutedRequest, error: CallError, runs: number): boolean {
    const { exchange, route } = routed;
    if (exchange.isOver || routed.outerAttempt > 0 || !exchange.canSendBody) return false;
    if (isCertainlyNotRun(error)) return true;
    return error.code === CallErrorCode.NoResponse && route.idempotent && runs < route.maxAttempts;
  }

  #fail(routed: RoutedRequest, lastError: CallError | undefined): void {
    if (!lastError && !routed.exchange.isOver) {
      const message = `no live server of service "${routed.service}"`;
      this.#refuse(routed.exchange, createNotRun(RefusalReason.NoServer, message));
      return;
    }
    const refusal = answerFailure(routed.exchange, lastError);
    if (refusal) this.#count(refusal);
  }

  #select(routed: RoutedRequest, tried: Set<string>): ServerEntry | undefined {
    const candidates = this.#context.directory
      .serversOf(routed.service)
      .filter((entry) => isLive(entry) && !tried.has(formatServerKey(entry)));
    const selection = this.#parts.selector.select(candidates, {
      service: routed.service,
      nowMs: this.#context.getNowMs(),
      random: this.#context.random,
    });
    log.debug(
      {
        requestId: routed.requestId,
        version: routed.version,
        route: routed.route.name,
        service: routed.service,
        server: selection && formatServerKey(selection.entry),
        considered: selection?.considered,
        reason: selection?.reason ?? RefusalReason.NoServer,
        attempt: tried.size,
      },
      'server chosen',
    );
    return selection?.entry;
  }

  #attempt(
    routed: RoutedRequest,
    entry: ServerEntry,
    attempt: number,
  ): Promise<Result<CallSummary, CallError>> {
    const { exchange, path, route } = routed;
    const remainingMs = Math.max(0, routed.deadlineMs - this.#context.getNowMs());
    const headers = [...exchange.headers, DEADLINE_HEADER, String(remainingMs)];
    if (attempt > 0) headers.push(ATTEMPT_HEADER, String(attempt));
    const local =
      entry.node.nodeId === this.#context.nodeId
        ? this.#context.localServers.find(entry.server.serverId)
        : undefined;
    if (local) {
      const work = {
        routeName: route.name,
        isIdempotent: route.idempotent,
        isRetry: attempt > 0,
        deadlineMs: routed.deadlineMs,
      };
      return this.#parts.localCaller.call(exchange, local, work, { path, headers });
    }
    const call = {
      serverId: entry.server.serverId,
      routeName: route.name,
      isIdempotent: route.idempotent,
      requestId: routed.requestId,
      version: routed.version,
      entryNodeId: this.#context.nodeId,
    };
    headers.push(CALL_HEADER, formatCallHeader(call));
    const pool = this.#parts.nodePools.get(entry.node.forwardAddress, MAX_NODE_CONNECTIONS);
    return exchange.call(pool, { path, headers }, { isNode: true });
  }

  #refuse(exchange: Exchange, refusal: Refusal): void {
    this.#count(refusal);
    writeRefusal(exchange.response, refusal, { closesConnection: exchange.hasUnreadBody });
  }

  #count(refusal: Refusal): void {
    const labels = { at: 'entry', reason: refusal.reason };
    this.#context.metrics.counter('requests_refused', labels).value += 1;
  }
}
