import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Result } from 'neverthrow';
import { ServerState } from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import { CallErrorCode } from '../../connection/CallError/index.js';
import { createLogger } from '../../process/log/index.js';
import { formatServerKey } from '../observeServers/index.js';
import { BodyState, Exchange } from './Exchange.js';
import { answerFailure } from './answerFailure.js';
import { learnOutcome } from './learnOutcome.js';
import { routeRequest } from './routeRequest.js';
import { RefusalReason, createNotRun, writeRefusal } from './writeRefusal.js';

import type { CallError } from '../../connection/CallError/index.js';
import type { CallSummary } from '../../connection/UpstreamCall/index.js';
import type { ServerEntry } from '../../process/endpoints/types.js';
import type { RetryBudget } from '../budgetRetries/index.js';
import type { ServerSelector } from '../selectServer/index.js';
import type { RequestContext } from './RequestContext.js';
import type ServerCaller from './ServerCaller.js';
import type { Learners } from './learnOutcome.js';
import type { RoutedRequest } from './routeRequest.js';
import type { Refusal } from './writeRefusal.js';

const log = createLogger('routing');

/** A request that certainly did not run may be placed on this many servers in all. */
const MAX_PLACEMENTS = 3;
const SERVICE_UNAVAILABLE = 503;
const US_PER_MS = 1_000;
const ID_RADIX = 36;

export interface EntryHandlerParts extends Learners {
  caller: ServerCaller;
  selector: ServerSelector;
  budget: RetryBudget;
}

/** The attempts of one request so far. */
interface Progress {
  tried: Set<string>;
  /** Attempts that may have run. */
  runs: number;
  lastError: CallError | undefined;
}

const isLive = ({ server, node }: ServerEntry): boolean =>
  server.state === ServerState.SERVING && !node.draining;

const isCertainlyNotRun = (error: CallError): boolean =>
  error.code === CallErrorCode.NotWritten || error.code === CallErrorCode.Refused;

/** Answers the requests of callers. */
export class EntryHandler {
  readonly #context: RequestContext;

  readonly #parts: EntryHandlerParts;

  readonly #addedUs;

  readonly #requests;

  #requestCount = 0;

  constructor(context: RequestContext, parts: EntryHandlerParts) {
    this.#context = context;
    this.#parts = parts;
    this.#addedUs = context.metrics.histogram('request_added_us');
    this.#requests = context.metrics.counter('requests_received', { at: 'entry' });
  }

  /** Handles one request; never rejects. */
  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.#requests.value += 1;
    this.#requestCount += 1;
    const exchange = new Exchange(request, response);
    const requestId = `${this.#context.nodeId}-${this.#requestCount.toString(ID_RADIX)}`;
    const routed = routeRequest(exchange, request, { context: this.#context, requestId });
    if ('reason' in routed) {
      this.#refuse(exchange, routed);
      return;
    }
    exchange.startDeadline(routed.deadlineMs - this.#context.getNowMs());
    const body = await exchange.readBody();
    if (body === BodyState.Incomplete) answerFailure(exchange, undefined);
    else await this.#serve(routed);
  }

  async #serve(routed: RoutedRequest): Promise<void> {
    const progress: Progress = { tried: new Set(), runs: 0, lastError: undefined };
    this.#parts.budget.addRequest(routed.service, this.#context.getNowMs());
    let mayContinue = true;
    while (mayContinue) {
      const entry = this.#select(routed, progress);
      if (!entry) break;
      const result = await this.#attempt(routed, entry, progress);
      if (result.isOk()) {
        this.#recordAdded(routed, result.value);
        return;
      }
      progress.lastError = result.error;
      mayContinue = this.#takeRetry(routed, progress, result.error);
    }
    this.#fail(routed, progress.lastError);
  }

  async #attempt(
    routed: RoutedRequest,
    entry: ServerEntry,
    progress: Progress,
  ): Promise<Result<CallSummary, CallError>> {
    const { observations, breaker, caller } = this.#parts;
    const nowMs = this.#context.getNowMs();
    const key = formatServerKey(entry);
    const observation = observations.get(key, nowMs);
    const attempt = {
      routed,
      entry,
      key,
      observation,
      number: routed.outerAttempt + progress.tried.size,
      shouldWithhold: ({ statusCode }: { statusCode: number }) =>
        statusCode === SERVICE_UNAVAILABLE && this.#mayRunAgain(routed, progress.runs + 1),
    };
    progress.tried.add(key);
    observation.inFlight += 1;
    observation.lastUsedAtMs = nowMs;
    breaker.addRequest(key, nowMs);
    const result = await caller.call(attempt);
    observation.inFlight -= 1;
    learnOutcome(attempt, result, this.#parts, this.#context.getNowMs());
    return result;
  }

  /** Tells whether a request that may have run could be sent to another server. */
  #mayRunAgain({ exchange, route, outerAttempt }: RoutedRequest, runs: number): boolean {
    const isAllowed = route.idempotent && runs < route.maxAttempts && outerAttempt === 0;
    return isAllowed && exchange.canSendBody && !exchange.isOver;
  }

  /** Decides whether the request is tried again, and takes that retry from the budget. */
  #takeRetry(routed: RoutedRequest, progress: Progress, error: CallError): boolean {
    const target = progress;
    if (!isCertainlyNotRun(error)) target.runs += 1;
    const { exchange } = routed;
    const mayRetry = isCertainlyNotRun(error)
      ? routed.outerAttempt === 0 &&
        exchange.canSendBody &&
        !exchange.isOver &&
        progress.tried.size < Math.max(MAX_PLACEMENTS, routed.route.maxAttempts)
      : error.code !== CallErrorCode.Truncated && this.#mayRunAgain(routed, progress.runs);
    if (!mayRetry) return false;
    // A failed connection puts no load on any server, so it needs no budget.
    const hasBudget =
      error.code === CallErrorCode.NotWritten ||
      this.#parts.budget.take(routed.service, this.#context.getNowMs());
    const { metrics } = this.#context;
    const name = hasBudget ? 'requests_retried' : 'retries_over_budget';
    metrics.counter(name, { reason: error.code }).value += 1;
    return hasBudget;
  }

  #select(routed: RoutedRequest, { tried }: Progress): ServerEntry | undefined {
    const candidates = this.#context.directory
      .serversOf(routed.service)
      .filter((entry) => isLive(entry) && (tried.size === 0 || !tried.has(formatServerKey(entry))));
    const selection = this.#parts.selector.select(candidates, {
      service: routed.service,
      nowMs: this.#context.getNowMs(),
      random: this.#context.random,
    });
    const { requestId, version, route, service } = routed;
    log.debug(
      {
        requestId,
        version,
        route: route.name,
        service,
        server: selection && formatServerKey(selection.entry),
        considered: selection?.considered,
        reason: selection?.reason ?? RefusalReason.NoServer,
        attempt: tried.size,
      },
      'server chosen',
    );
    return selection?.entry;
  }

  #fail({ exchange, service }: RoutedRequest, lastError: CallError | undefined): void {
    if (!lastError && !exchange.isOver) {
      const message = `no live server of service "${service}"`;
      this.#refuse(exchange, createNotRun(RefusalReason.NoServer, message));
      return;
    }
    const refusal = answerFailure(exchange, lastError);
    if (refusal) this.#count(refusal);
  }

  #recordAdded({ exchange }: RoutedRequest, { upstreamMs }: CallSummary): void {
    const addedMs = performance.now() - exchange.startedAtMs - upstreamMs;
    this.#addedUs.recordValue(Math.max(0, Math.round(addedMs * US_PER_MS)));
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
