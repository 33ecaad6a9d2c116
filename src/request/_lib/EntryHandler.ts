import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Result } from 'neverthrow';
import { createHash } from 'node:crypto';

import { err } from 'neverthrow';

import { ServerState } from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import { CallErrorCode } from '../../connection/CallError/index.js';
import { LogLevel, createLogger, isLogged } from '../../process/log/index.js';
import { formatServerKey } from '../observeServers/index.js';
import { ResponseRecorder, replayResponse } from './ResponseRecorder.js';
import EntryLog from './EntryLog.js';
import { BodyState, Exchange } from './Exchange.js';
import { answerFailure } from './answerFailure.js';
import describeKeyError from './describeKeyError.js';
import { learnOutcome } from './learnOutcome.js';
import { routeRequest } from './routeRequest.js';
import computeRetryDelay from '../computeRetryDelay/index.js';
import ObjectiveEstimator from '../trackObjectives/index.js';
import TrafficSplit from '../splitTraffic/index.js';
import { RefusalReason, RequestOutcome, createNotRun } from './writeRefusal.js';

import type { CallError } from '../../connection/CallError/index.js';
import type { CallSummary, ResponseTap } from '../../connection/UpstreamCall/index.js';
import type { ServerEntry } from '../../process/endpoints/types.js';
import type { RetryBudget } from '../budgetRetries/index.js';
import type { IdempotencyGuard } from '../idempotency/index.js';
import type { ServerSelector } from '../selectServer/index.js';
import type PeerTracker from '../trackPeers/index.js';
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
const MAX_KEY_LENGTH = 255;
const BAD_REQUEST = 400;

export interface EntryHandlerParts extends Learners {
  caller: ServerCaller;
  selector: ServerSelector;
  budget: RetryBudget;
  guard: IdempotencyGuard;
  peers: PeerTracker;
}

/** The attempts of one request so far. */
interface Progress {
  tried: Set<string>;
  /** Attempts that may have run. */
  runs: number;
  lastError: CallError | undefined;
  /** Set once an attempt may have run; no later refusal makes that untrue. */
  runError: CallError | undefined;
}

const isLive = ({ server, node }: ServerEntry): boolean =>
  server.state === ServerState.SERVING && !node.draining;

const isCertainlyNotRun = (error: CallError): boolean =>
  error.code === CallErrorCode.NotWritten || error.code === CallErrorCode.Refused;

/** Tells whether a request that is given up certainly did not run; one without error found no server. */
const isNotRun = (error: CallError | undefined): boolean =>
  !error || isCertainlyNotRun(error) || !error.options.isWritten;

const describeEnd = (result: Result<CallSummary, CallError>): string =>
  result.match(
    ({ statusCode }) => String(statusCode),
    ({ code }) => code,
  );

const hash = (content: string | Buffer): Buffer => createHash('sha256').update(content).digest();

/** Answers the requests of callers. */
export class EntryHandler {
  readonly #context: RequestContext;

  readonly #parts: EntryHandlerParts;

  readonly #addedUs;

  readonly #requests;

  /** Makes request ids unique over restarts of this node. */
  readonly #incarnation: string;

  #requestCount = 0;

  readonly #entryLog: EntryLog;

  readonly #split: TrafficSplit;

  readonly #objectives = new ObjectiveEstimator();

  constructor(context: RequestContext, parts: EntryHandlerParts) {
    this.#context = context;
    this.#parts = parts;
    this.#split = new TrafficSplit(context.random);
    this.#entryLog = new EntryLog(context);
    this.#incarnation = context.localServers.record().incarnation.toString(ID_RADIX);
    this.#addedUs = context.metrics.histogram('request_added_us');
    this.#requests = context.metrics.counter('requests_received', { at: 'entry' });
  }

  /** Handles one request; never rejects. */
  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.#requests.value += 1;
    this.#requestCount += 1;
    const exchange = new Exchange(request, response, this.#context.dialect.reservedHeaders);
    const requestId = `${this.#context.nodeId}-${this.#requestCount.toString(ID_RADIX)}`;
    const routed = routeRequest(exchange, request, {
      context: this.#context,
      split: this.#split,
      objectives: this.#objectives,
      requestId,
    });
    if ('reason' in routed) {
      this.#refuse(exchange, routed);
      this.#entryLog.logRefused(request, routed);
      return;
    }
    exchange.requestId = routed.requestId;
    const nowMs = this.#context.getNowMs();
    exchange.startDeadline(routed.deadlineMs - nowMs);
    if (routed.objectiveAtMs !== undefined) exchange.setObjective(routed.objectiveAtMs - nowMs);
    const body = await exchange.readBody();
    const key = request.headers['idempotency-key'];
    if (body === BodyState.Incomplete) {
      answerFailure(exchange, undefined, (answer) => this.#write(exchange, answer));
    } else if (typeof key === 'string' && !routed.route.idempotent) {
      await this.#serveKeyed(routed, key);
    } else {
      this.#finish(routed, await this.#serve(routed));
    }
  }

  /** Runs the request if its key is free, or answers it as the first one with that key was. */
  async #serveKeyed(routed: RoutedRequest, key: string): Promise<void> {
    const { exchange, requestId, host, path } = routed;
    const { guard } = this.#parts;
    if (key.length === 0 || key.length > MAX_KEY_LENGTH) {
      const message = `Idempotency-Key must have 1 to ${MAX_KEY_LENGTH} characters`;
      const refusal = createNotRun(RefusalReason.BadRequest, message, { statusCode: BAD_REQUEST });
      this.#refuse(exchange, refusal);
      return;
    }
    const reserved = await guard.reserve({
      key: hash([host, exchange.method, path, key].join('\n')).toString('hex'),
      owner: `${this.#incarnation}/${requestId}`,
      bodyHash: exchange.heldBody ? hash(exchange.heldBody) : new Uint8Array(),
    });
    if (reserved.isErr()) {
      this.#refuse(exchange, describeKeyError(reserved.error));
      return;
    }
    if (!('holders' in reserved.value)) {
      replayResponse(exchange.response, reserved.value);
      return;
    }
    const reservation = reserved.value;
    const tap = new ResponseRecorder((response) => guard.complete(reservation, response));
    const result = await this.#serve(routed, tap);
    // The key is free before the caller learns so, or its next attempt would find it in use.
    if (result.isErr() && isNotRun(result.error)) await guard.release(reservation);
    this.#finish(routed, result);
  }

  /** Places the request on servers until one responds; undefined as error means no server. */
  async #serve(
    routed: RoutedRequest,
    tap?: ResponseTap,
  ): Promise<Result<CallSummary, CallError | undefined>> {
    const progress: Progress = {
      tried: new Set(),
      runs: 0,
      lastError: undefined,
      runError: undefined,
    };
    this.#parts.budget.addRequest(routed.service, this.#context.getNowMs());
    let mayContinue = true;
    while (mayContinue) {
      const entry = this.#select(routed, progress);
      if (!entry) break;
      const result = await this.#attempt(routed, entry, progress, tap);
      if (result.isOk()) return result;
      progress.lastError = result.error;
      mayContinue = this.#takeRetry(routed, progress, result.error);
    }
    return err(progress.runError ?? progress.lastError);
  }

  #finish(routed: RoutedRequest, result: Result<CallSummary, CallError | undefined>): void {
    if (result.isOk()) {
      this.#recordAdded(routed, result.value);
      this.#entryLog.logAnswered(routed, result.value);
    } else this.#fail(routed, result.error);
  }

  async #attempt(
    routed: RoutedRequest,
    entry: ServerEntry,
    progress: Progress,
    tap: ResponseTap | undefined,
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
      tap,
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
    routed.trail.push(`${key} ${describeEnd(result)}`);
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
    if (!isCertainlyNotRun(error)) {
      target.runs += 1;
      target.runError = error;
    }
    const { exchange } = routed;
    const mayRetry = isCertainlyNotRun(error)
      ? routed.outerAttempt === 0 &&
        exchange.canSendBody &&
        !exchange.isOver &&
        progress.tried.size < Math.max(MAX_PLACEMENTS, routed.route.maxAttempts)
      : error.code !== CallErrorCode.Truncated && this.#mayRunAgain(routed, progress.runs);
    if (!mayRetry) return false;
    // Neither a failed connection nor a refusal beside the server puts load on any server.
    const isFree =
      error.code === CallErrorCode.NotWritten ||
      (error.code === CallErrorCode.Refused && !error.options.isServerRefusal);
    const hasBudget = isFree || this.#parts.budget.take(routed.service, this.#context.getNowMs());
    const { metrics } = this.#context;
    const name = hasBudget ? 'requests_retried' : 'retries_over_budget';
    metrics.counter(name, { reason: error.code }).value += 1;
    return hasBudget;
  }

  #select(routed: RoutedRequest, { tried }: Progress): ServerEntry | undefined {
    const nowMs = this.#context.getNowMs();
    const live = this.#context.directory
      .serversOf(routed.service)
      .filter((entry) => isLive(entry) && (tried.size === 0 || !tried.has(formatServerKey(entry))));
    const reachable = live.filter(({ node }) => !this.#parts.peers.isUnresponsive(node.nodeId));
    const candidates = reachable.length > 0 ? reachable : live;
    const selection = this.#parts.selector.select(candidates, {
      service: routed.service,
      nowMs,
      random: this.#context.random,
    });
    if (!isLogged(LogLevel.Debug)) return selection?.entry;
    const { requestId, version, route, service } = routed;
    log.info(
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

  #fail(routed: RoutedRequest, lastError: CallError | undefined): void {
    const { exchange, service } = routed;
    this.#entryLog.logNotServed(routed, {
      error: lastError,
      outcome: isNotRun(lastError) ? RequestOutcome.NotRun : RequestOutcome.Unknown,
      liveServers: this.#context.directory.serversOf(service).filter(isLive).length,
    });
    if (!lastError && !exchange.isOver) {
      const message = `no live server of service "${service}"`;
      this.#refuse(exchange, createNotRun(RefusalReason.NoServer, message));
      return;
    }
    const refusal = answerFailure(exchange, lastError, (answer) => this.#write(exchange, answer));
    if (refusal) this.#count(refusal);
  }

  #recordAdded({ exchange }: RoutedRequest, { upstreamMs }: CallSummary): void {
    const addedMs = performance.now() - exchange.startedAtMs - upstreamMs;
    this.#addedUs.recordValue(Math.max(0, Math.round(addedMs * US_PER_MS)));
  }

  #refuse(exchange: Exchange, refusal: Refusal): void {
    this.#count(refusal);
    this.#write(exchange, refusal);
  }

  #write(exchange: Exchange, refusal: Refusal): void {
    const isReturnWanted =
      refusal.outcome === RequestOutcome.NotRun && refusal.statusCode === SERVICE_UNAVAILABLE;
    const retryAfterMs = computeRetryDelay({
      expectedMs: refusal.retryAfterMs,
      objectiveLeftMs: exchange.objectiveLeftMs(performance.now()),
      remainingMs: exchange.remainingMs(performance.now()),
      random: this.#context.random(),
    });
    const answer = isReturnWanted ? { ...refusal, retryAfterMs } : refusal;
    this.#context.dialect.writeRefusal(exchange.response, answer, {
      closesConnection: exchange.hasUnreadBody,
      requestId: exchange.requestId,
    });
  }

  #count(refusal: Refusal): void {
    const labels = { at: 'entry', reason: refusal.reason };
    this.#context.metrics.counter('requests_refused', labels).value += 1;
  }
}
