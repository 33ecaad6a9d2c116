import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Result } from 'neverthrow';
import { createHash } from 'node:crypto';

import { ResponseRecorder, replayResponse } from './ResponseRecorder.js';
import { isKnownNotRun } from './AttemptLedger.js';
import EntryLog from './EntryLog.js';
import { BodyState, Exchange } from './Exchange.js';
import { createDrainRefusal, mayOutlastDrain } from './refuseLate.js';
import { answerFailure } from './answerFailure.js';
import createKeyRefusal from './createKeyRefusal.js';
import { routeRequest } from './routeRequest.js';
import computeRetryDelay from '../computeRetryDelay/index.js';
import ObjectiveEstimator from '../trackObjectives/index.js';
import TrafficSplit from '../splitTraffic/index.js';
import { RefusalReason, RequestOutcome, createNotRunRefusal } from './writeRefusal.js';

import type { CallError } from '../../connection/CallError/index.js';
import type { CallSummary } from '../../connection/UpstreamCall/index.js';
import type { IdempotencyGuard } from '../idempotency/index.js';
import type WorkspaceLimiter from '../limitWorkspaces/index.js';
import type { CrashLedger } from '../trackCrashes/index.js';
import type BodyReader from './BodyReader.js';
import type { RequestContext } from './RequestContext.js';
import type RequestDispatcher from './RequestDispatcher.js';
import type { RoutedRequest } from './routeRequest.js';
import type { Refusal } from './writeRefusal.js';

const SERVICE_UNAVAILABLE = 503;
const US_PER_MS = 1_000;
const ID_RADIX = 36;
const MAX_KEY_LENGTH = 255;
const BAD_REQUEST = 400;
const TOO_MANY_REQUESTS = 429;

export interface EntryHandlerDependencies {
  dispatcher: RequestDispatcher;
  guard: IdempotencyGuard;
  crashLedger: CrashLedger;
  bodies: BodyReader;
  /** Undefined where quotas do not count. */
  workspaceLimiter: WorkspaceLimiter | undefined;
}

const createCrashRefusal = (): Refusal =>
  createNotRunRefusal(
    RefusalReason.CrashesServers,
    'several servers ended while they ran this request',
  );

const hashSha256 = (content: string | Buffer): Buffer =>
  createHash('sha256').update(content).digest();

/** Handles the requests of callers: routes them, charges quotas, and answers those not served. */
export class EntryHandler {
  readonly #context: RequestContext;

  readonly #dependencies: EntryHandlerDependencies;

  readonly #addedLatency;

  readonly #receivedRequests;

  /** Start time of this node; makes the owners of idempotency keys unique across restarts. */
  readonly #incarnation: string;

  #requestCount = 0;

  readonly #entryLog: EntryLog;

  readonly #split: TrafficSplit;

  readonly #objectives = new ObjectiveEstimator();

  constructor(context: RequestContext, dependencies: EntryHandlerDependencies) {
    this.#context = context;
    this.#dependencies = dependencies;
    this.#split = new TrafficSplit(context.random);
    this.#entryLog = new EntryLog(context);
    this.#incarnation = context.localServers.record().incarnation.toString(ID_RADIX);
    this.#addedLatency = context.metrics.histogram('request_added_us');
    this.#receivedRequests = context.metrics.counter('requests_received', { at: 'entry' });
  }

  /**
   * Handles one request; the promise never rejects.
   *
   * @param request - request of a caller
   * @param response - response to it
   * @param waitedMs - time since the request was received
   */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    waitedMs: number,
  ): Promise<void> {
    this.#receivedRequests.value += 1;
    this.#requestCount += 1;
    const { reservedHeaders } = this.#context.dialect;
    const exchange = new Exchange(request, response, { reservedHeaders, waitedMs });
    const requestId = `${this.#context.nodeId}-${this.#requestCount.toString(ID_RADIX)}`;
    const routed = routeRequest(exchange, request, {
      context: this.#context,
      split: this.#split,
      objectives: this.#objectives,
      requestId,
      receivedAtMs: this.#context.getNowMs() - waitedMs,
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
    // Read before any refusal, since an answer to an unread body closes the connection.
    const { bodies } = this.#dependencies;
    const body = await bodies.read(exchange, routed.path, this.#context.callerService());
    if (body === BodyState.Incomplete || exchange.isAborted) {
      const refused = answerFailure(exchange, undefined, (answer) => this.#write(exchange, answer));
      if (refused) this.#countRefusal(refused);
      return;
    }
    const refusal = this.#findRefusal(routed);
    const key = request.headers['idempotency-key'];
    if (refusal) {
      this.#refuse(exchange, refusal);
      this.#entryLog.logRefused(request, refusal);
    } else if (typeof key === 'string' && !routed.route.idempotent) {
      await this.#serveWithKey(routed, key);
    } else {
      this.#finish(routed, await this.#dependencies.dispatcher.dispatch(routed));
    }
  }

  #findRefusal(routed: RoutedRequest): Refusal | undefined {
    if (mayOutlastDrain(routed.exchange, this.#context)) return createDrainRefusal();
    if (this.#isRefusedAsCrashing(routed)) return createCrashRefusal();
    return this.#chargeQuota(routed, this.#context.getNowMs());
  }

  /**
   * Returns whether the request has crashed too many servers to be sent to another one. One that may
   * be tried once more is bound to the node of the trial.
   */
  #isRefusedAsCrashing(routed: RoutedRequest): boolean {
    const { crashLedger } = this.#dependencies;
    if (crashLedger.isEmpty) return false;
    const { directory, callerService, getNowMs } = this.#context;
    const fingerprints = routed.exchange.computeFingerprints(routed.path, callerService());
    if (!crashLedger.isBlocked(fingerprints)) return false;
    const target = routed;
    target.trialNodeId = crashLedger.findTrialNode(fingerprints, directory.records(), getNowMs());
    return target.trialNodeId === undefined;
  }

  /** Charges the request to the quota of its workspace; returns the refusal if that is used up. */
  #chargeQuota({ workspace }: RoutedRequest, nowMs: number): Refusal | undefined {
    const { workspaceLimiter } = this.#dependencies;
    if (!workspace || !workspaceLimiter) return undefined;
    const refused = workspaceLimiter.admit(workspace, nowMs, this.#context.isCurrent());
    if (!refused) return undefined;
    const { retryAfterMs, isFromReserve } = refused;
    const cause = isFromReserve ? ', since no control VM renews the share of this node' : '';
    const message = `workspace ${workspace.name} is over its quota${cause}`;
    const options = { statusCode: TOO_MANY_REQUESTS, retryAfterMs };
    return createNotRunRefusal(RefusalReason.OverQuota, message, options);
  }

  /** Returns what was charged for a request that certainly did not run. */
  #returnQuota({ workspace }: RoutedRequest): void {
    if (!workspace) return;
    this.#dependencies.workspaceLimiter?.giveBack(workspace.name);
  }

  /** Serves the request if its idempotency key is free; otherwise replays the response or refuses. */
  async #serveWithKey(routed: RoutedRequest, key: string): Promise<void> {
    const { exchange, requestId, host, path } = routed;
    const { guard } = this.#dependencies;
    if (key.length === 0 || key.length > MAX_KEY_LENGTH) {
      this.#returnQuota(routed);
      const message = `Idempotency-Key must be 1 to ${MAX_KEY_LENGTH} characters long`;
      const refusal = createNotRunRefusal(RefusalReason.BadRequest, message, {
        statusCode: BAD_REQUEST,
      });
      this.#refuse(exchange, refusal);
      return;
    }
    // Two workspaces may use the same Idempotency-Key for different requests.
    const workspaces = routed.workspace ? [routed.workspace.name] : [];
    const scope = [host, exchange.method, path, ...workspaces, key];
    const reserved = await guard.reserve({
      key: hashSha256(scope.join('\n')).toString('hex'),
      owner: `${this.#incarnation}/${requestId}`,
      bodyHash: exchange.bufferedBody ? hashSha256(exchange.bufferedBody) : new Uint8Array(),
    });
    if (reserved.isErr()) {
      this.#returnQuota(routed);
      this.#refuse(exchange, createKeyRefusal(reserved.error));
      return;
    }
    if (!('holders' in reserved.value)) {
      this.#returnQuota(routed);
      replayResponse(exchange.response, reserved.value);
      return;
    }
    const reservation = reserved.value;
    const tap = new ResponseRecorder((response) => guard.complete(reservation, response));
    const result = await this.#dependencies.dispatcher.dispatch(routed, tap);
    // Releases the key before the response is sent, or the caller's retry could find it in use.
    if (result.isErr() && isKnownNotRun(result.error)) await guard.release(reservation);
    this.#finish(routed, result);
  }

  #finish(routed: RoutedRequest, result: Result<CallSummary, CallError | undefined>): void {
    if (result.isOk()) {
      this.#recordAddedLatency(routed, result.value);
      this.#entryLog.logAnswered(routed, result.value);
    } else {
      if (isKnownNotRun(result.error)) this.#returnQuota(routed);
      this.#handleFailure(routed, result.error);
    }
  }

  #handleFailure(routed: RoutedRequest, lastError: CallError | undefined): void {
    const { exchange, service } = routed;
    this.#entryLog.logNotServed(routed, {
      error: lastError,
      outcome: isKnownNotRun(lastError) ? RequestOutcome.NotRun : RequestOutcome.Unknown,
      liveServers: this.#dependencies.dispatcher.countLive(routed),
    });
    if (!lastError && !exchange.isAborted) {
      const message = `no live server of service "${service}"`;
      this.#refuse(exchange, createNotRunRefusal(RefusalReason.NoServer, message));
      return;
    }
    const refusal = answerFailure(exchange, lastError, (answer) => this.#write(exchange, answer));
    if (refusal) this.#countRefusal(refusal);
  }

  #recordAddedLatency({ exchange }: RoutedRequest, { upstreamMs }: CallSummary): void {
    const addedMs = performance.now() - exchange.startedAtMs - upstreamMs;
    this.#addedLatency.recordValue(Math.max(0, Math.round(addedMs * US_PER_MS)));
  }

  #refuse(exchange: Exchange, refusal: Refusal): void {
    this.#countRefusal(refusal);
    this.#write(exchange, refusal);
  }

  #write(exchange: Exchange, refusal: Refusal): void {
    const needsRetryAfter =
      refusal.outcome === RequestOutcome.NotRun && refusal.statusCode === SERVICE_UNAVAILABLE;
    const retryAfterMs = computeRetryDelay({
      expectedMs: refusal.retryAfterMs,
      objectiveLeftMs: exchange.getObjectiveRemainingMs(performance.now()),
      remainingMs: exchange.getRemainingMs(performance.now()),
      random: this.#context.random(),
    });
    const answer = needsRetryAfter ? { ...refusal, retryAfterMs } : refusal;
    this.#context.dialect.writeRefusal(exchange.response, answer, {
      closesConnection: exchange.hasUnreadBody,
      requestId: exchange.requestId,
    });
  }

  #countRefusal(refusal: Refusal): void {
    const labels = { at: 'entry', reason: refusal.reason };
    this.#context.metrics.counter('requests_refused', labels).value += 1;
  }
}
