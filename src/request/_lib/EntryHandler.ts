import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Result } from 'neverthrow';
import { createHash } from 'node:crypto';

import { err, ok } from 'neverthrow';

import { ServerState } from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import { CallError, CallErrorCode } from '../../connection/CallError/index.js';
import { LogLevel, createLogger, isLogged } from '../../process/log/index.js';
import { formatServerKey } from '../observeServers/index.js';
import { ResponseRecorder, replayResponse } from './ResponseRecorder.js';
import { NoFurtherAttempt } from './AttemptRecord.js';
import EntryLog from './EntryLog.js';
import OpenAttempts, { AttemptEventKind } from './OpenAttempts.js';
import { BodyState, Exchange } from './Exchange.js';
import { createDrainRefusal, mayOutlastDrain } from './refuseLate.js';
import { answerFailure } from './answerFailure.js';
import createKeyRefusal from './createKeyRefusal.js';
import { recordOutcome } from './recordOutcome.js';
import { routeRequest } from './routeRequest.js';
import { Reach } from '../chooseVersion/index.js';
import computeRetryDelay from '../computeRetryDelay/index.js';
import { computeNodeDelayMs, isTooBusy } from '../judgeWait/index.js';
import ObjectiveEstimator from '../trackObjectives/index.js';
import TrafficSplit from '../splitTraffic/index.js';
import { RefusalReason, RequestOutcome, createNotRunRefusal } from './writeRefusal.js';

import type { WithheldResponse } from '../../connection/CallError/index.js';
import type { CallSummary, ResponseTap } from '../../connection/UpstreamCall/index.js';
import type { ServerEntry } from '../../process/endpoints/types.js';
import type { RetryBudget } from '../budgetRetries/index.js';
import type { IdempotencyGuard } from '../idempotency/index.js';
import type { VersionChoice, VersionPolicy } from '../chooseVersion/index.js';
import type { EvidenceCollector } from '../collectEvidence/index.js';
import type WorkspaceLimiter from '../limitWorkspaces/index.js';
import type { Selection, ServerSelector } from '../selectServer/index.js';
import type { CrashLedger } from '../trackCrashes/index.js';
import type DepartureTracker from '../trackDepartures/index.js';
import type PeerTracker from '../trackPeers/index.js';
import type { AttemptRecord } from './AttemptRecord.js';
import type BodyReader from './BodyReader.js';
import type { AttemptProgress, AttemptResult } from './OpenAttempts.js';
import type { RequestContext } from './RequestContext.js';
import type ServerCaller from './ServerCaller.js';
import type { Attempt } from './ServerCaller.js';
import type { OutcomeRecorders } from './recordOutcome.js';
import type { RoutedRequest } from './routeRequest.js';
import type { Refusal } from './writeRefusal.js';

const log = createLogger('routing');

/** Maximum number of servers tried for a request that certainly did not run. */
const MAX_SERVERS_TRIED = 3;
/** Reason of a retry beside an attempt whose node has not acknowledged the request. */
const NOT_ACKNOWLEDGED = 'NOT_ACKNOWLEDGED';
const SERVICE_UNAVAILABLE = 503;
const US_PER_MS = 1_000;
const ID_RADIX = 36;
const MAX_KEY_LENGTH = 255;
const BAD_REQUEST = 400;
const TOO_MANY_REQUESTS = 429;

export interface EntryHandlerDependencies extends OutcomeRecorders {
  caller: ServerCaller;
  selector: ServerSelector;
  budget: RetryBudget;
  guard: IdempotencyGuard;
  peers: PeerTracker;
  departures: DepartureTracker;
  crashLedger: CrashLedger;
  bodies: BodyReader;
  versions: VersionPolicy;
  /** Counts how attempts end by software version; undefined without roll-outs. */
  evidence?: EvidenceCollector | undefined;
  /** Undefined where quotas do not count. */
  workspaceLimiter: WorkspaceLimiter | undefined;
}

/** State of a request over its attempts. */
interface AttemptState {
  /** Servers that the last attempt could be sent to. */
  choice: VersionChoice | undefined;
  /** Keys of the servers tried so far. */
  tried: Set<string>;
  open: OpenAttempts;
  /** Number of ended attempts that may have run. */
  possibleRuns: number;
  /** Number of ended attempts that may have reached a server, which may have refused them. */
  arrivals: number;
  /** Number of retries charged to the budget. */
  chargedRetries: number;
  /** Number of repeats charged to the quota of the workspace. */
  chargedRepeats: number;
  lastError: CallError | undefined;
  /** Last error of an attempt that may have run; takes precedence over later refusals. */
  possibleRunError: CallError | undefined;
  /** Response of a server that is sent if no other one responds. */
  withheldResponse: WithheldResponse | undefined;
}

const isLive = ({ server, node }: ServerEntry): boolean =>
  server.state === ServerState.SERVING && !node.draining;

const isNotRunError = (error: CallError): boolean =>
  error.code === CallErrorCode.NotWritten || error.code === CallErrorCode.Refused;

/** Returns whether a failed request certainly did not run; without an error, no server was found. */
const isKnownNotRun = (error: CallError | undefined): boolean =>
  !error || isNotRunError(error) || !error.options.isWritten;

/** Returns whether a failed attempt may have reached a server, which may have refused it. */
const mayHaveArrived = (error: CallError): boolean =>
  error.options.isServerRefusal === true || !isNotRunError(error);

/** Errors that the server, or the node beside it, has caused after the server got the request. */
const SERVER_ERRORS = new Set([
  CallErrorCode.Shed,
  CallErrorCode.TimedOut,
  CallErrorCode.Truncated,
]);

const findReach = (result: Result<CallSummary, CallError>): Reach =>
  result.match(
    () => Reach.Certain,
    (error) => {
      if (SERVER_ERRORS.has(error.code) || error.options.isServerRefusal) return Reach.Certain;
      return isKnownNotRun(error) ? Reach.None : Reach.Possible;
    },
  );

/** Returns the time since the request was received, in whole milliseconds. */
const readElapsedMs = ({ exchange }: RoutedRequest): number =>
  Math.round(performance.now() - exchange.startedAtMs);

const describeEnd = (result: Result<CallSummary, CallError>): Partial<AttemptRecord> =>
  result.match(
    ({ statusCode }) => ({ result: String(statusCode) }),
    ({ code, message }) => ({ result: code, reason: message }),
  );

const createCrashRefusal = (): Refusal =>
  createNotRunRefusal(
    RefusalReason.CrashesServers,
    'several servers ended while they ran this request',
  );

const hashSha256 = (content: string | Buffer): Buffer =>
  createHash('sha256').update(content).digest();

/** Handles the requests of callers: routes them, selects servers and retries failed attempts. */
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
      this.#finish(routed, await this.#tryServers(routed));
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

  /** Charges an attempt beside or after others that may run, as it may run at a further server. */
  #chargeRepeat({ workspace }: RoutedRequest, state: AttemptState): void {
    if (state.chargedRepeats >= state.possibleRuns + state.open.size) return;
    const target = state;
    target.chargedRepeats += 1;
    if (workspace) this.#dependencies.workspaceLimiter?.addRepeat(workspace.name);
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
    const result = await this.#tryServers(routed, tap);
    // Releases the key before the response is sent, or the caller's retry could find it in use.
    if (result.isErr() && isKnownNotRun(result.error)) await guard.release(reservation);
    this.#finish(routed, result);
  }

  /**
   * Tries servers until one responds; an undefined error means that no server was available. An overdue
   * attempt stays open beside the next one, and the response that comes first is passed on.
   */
  async #tryServers(
    routed: RoutedRequest,
    tap?: ResponseTap,
  ): Promise<Result<CallSummary, CallError | undefined>> {
    const open = new OpenAttempts();
    const state: AttemptState = {
      choice: undefined,
      tried: new Set(),
      open,
      possibleRuns: 0,
      arrivals: 0,
      chargedRetries: 0,
      chargedRepeats: 0,
      lastError: undefined,
      possibleRunError: undefined,
      withheldResponse: undefined,
    };
    this.#dependencies.budget.addRequest(routed.service, this.#context.getNowMs());
    this.#startAttempt(routed, state, { tap });
    while (open.size > 0) {
      const event = await open.next();
      if (event.kind === AttemptEventKind.Overdue) {
        if (open.areOverdue && this.#canOverlap(routed, state)) {
          this.#startAttempt(routed, state, { tap, retryReason: NOT_ACKNOWLEDGED });
        }
      } else if (event.result.isOk()) {
        return event.result;
      } else if (this.#canRetry(routed, state, event.result.error)) {
        this.#startAttempt(routed, state, { tap, retryReason: event.result.error.code });
      }
    }
    const { withheldResponse } = state;
    if (withheldResponse && routed.exchange.canBeAnswered) {
      routed.exchange.sendWithheld(withheldResponse);
      return ok(withheldResponse);
    }
    return err(state.possibleRunError ?? state.lastError);
  }

  /** Starts an attempt on the best server, if there is one and a retry is within the budget. */
  #startAttempt(
    routed: RoutedRequest,
    state: AttemptState,
    { tap, retryReason }: { tap: ResponseTap | undefined; retryReason?: string },
  ): void {
    const selection = this.#selectServer(routed, state);
    const obstacle =
      this.#findObstacle(routed, selection, state) ??
      (retryReason === undefined ? undefined : this.#chargeRetry(routed, state, retryReason));
    Object.assign(routed, { noFurtherAttempt: obstacle });
    if (!selection || obstacle !== undefined) return;
    this.#chargeRepeat(routed, state);
    state.open.start((progress) =>
      this.#attempt(routed, selection.entry, state, { tap, progress }),
    );
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

  async #attempt(
    routed: RoutedRequest,
    entry: ServerEntry,
    state: AttemptState,
    { tap, progress }: { tap: ResponseTap | undefined; progress: AttemptProgress },
  ): Promise<AttemptResult> {
    const { observations, breaker, caller, versions } = this.#dependencies;
    const { choice } = state;
    const nowMs = this.#context.getNowMs();
    const key = formatServerKey(entry);
    const observation = observations.get(key, nowMs);
    const record: AttemptRecord = { server: key, sentMs: readElapsedMs(routed) };
    routed.attempts.push(record);
    const attempt: Attempt = {
      routed,
      entry,
      key,
      observation,
      ...(tap && { tap }),
      number: routed.outerAttempt + state.tried.size,
      shouldWithhold: ({ statusCode }: { statusCode: number }) =>
        statusCode === SERVICE_UNAVAILABLE &&
        (state.open.size > 1 || this.#canRunAgain(routed, state)),
      onOverdue: progress.reportOverdue,
      onAcknowledged: () => {
        record.acknowledgedMs ??= readElapsedMs(routed);
        progress.reportAcknowledged();
      },
    };
    state.tried.add(key);
    if (choice) versions.charge(choice);
    observation.inFlight += 1;
    observation.lastUsedAtMs = nowMs;
    breaker.addRequest(key, nowMs);
    const result = await caller.call(attempt);
    observation.inFlight -= 1;
    this.#recordVersion(attempt, result, choice);
    recordOutcome(attempt, result, this.#dependencies, this.#context.getNowMs());
    Object.assign(record, { endedMs: readElapsedMs(routed), ...describeEnd(result) });
    return result;
  }

  #recordVersion(
    { routed, entry, hop }: Attempt,
    result: Result<CallSummary, CallError>,
    choice: VersionChoice | undefined,
  ): void {
    const { versions, evidence } = this.#dependencies;
    const { service, route, exchange } = routed;
    if (choice) versions.recordAttempt(service, choice, findReach(result));
    evidence?.record({
      service,
      softwareVersion: entry.server.softwareVersion,
      route: route.name,
      result,
      isForwarded: hop !== undefined,
      isAcknowledged: hop?.isAcknowledged === true,
      isPastDeadline: exchange.isPastDeadline,
    });
  }

  /** Returns whether a request that may have run, or may be running, can be sent to another server. */
  #canRunAgain({ exchange, route, outerAttempt }: RoutedRequest, state: AttemptState): boolean {
    const runs = state.possibleRuns + state.open.size;
    const isAllowed = route.idempotent && runs < route.maxAttempts && outerAttempt === 0;
    return isAllowed && exchange.canBeSent;
  }

  /** Returns whether a request whose attempts are overdue can be sent to another server as well. */
  #canOverlap(routed: RoutedRequest, state: AttemptState): boolean {
    const canRunAgain = this.#canRunAgain(routed, state);
    if (!canRunAgain) Object.assign(routed, { noFurtherAttempt: NoFurtherAttempt.NotRepeatable });
    return canRunAgain;
  }

  /** Returns whether to try another server after a failed attempt. */
  #canRetry(routed: RoutedRequest, state: AttemptState, error: CallError): boolean {
    const target = state;
    target.lastError = error;
    // A later attempt that was cancelled unsent leaves the outcome of an earlier one unknown.
    if (!isKnownNotRun(error)) {
      target.possibleRuns += 1;
      target.possibleRunError = error;
    }
    if (mayHaveArrived(error)) target.arrivals += 1;
    target.withheldResponse = error.options.response ?? state.withheldResponse;
    if (!state.open.areOverdue) return false;
    const { exchange, outerAttempt, route } = routed;
    const mayRun = state.possibleRuns + state.open.size > 0;
    const isUntried =
      outerAttempt === 0 &&
      exchange.canBeSent &&
      state.tried.size < Math.max(MAX_SERVERS_TRIED, route.maxAttempts);
    const mayRetry =
      (!mayRun || this.#canRunAgain(routed, state)) &&
      (isNotRunError(error) ? isUntried : error.code !== CallErrorCode.Truncated);
    if (!mayRetry) Object.assign(routed, { noFurtherAttempt: NoFurtherAttempt.NotRepeatable });
    return mayRetry;
  }

  /**
   * Charges a retry to the budget if the attempts before it may have reached a server: a failed
   * connection or a refusal by the owner node puts no load on one.
   */
  #chargeRetry(
    { service }: RoutedRequest,
    state: AttemptState,
    reason: string,
  ): NoFurtherAttempt | undefined {
    const isCharged = state.chargedRetries >= state.arrivals + state.open.size;
    const hasBudget =
      isCharged || this.#dependencies.budget.take(service, this.#context.getNowMs());
    const target = state;
    if (hasBudget && !isCharged) target.chargedRetries += 1;
    const name = hasBudget ? 'requests_retried' : 'retries_over_budget';
    this.#context.metrics.counter(name, { reason }).value += 1;
    return hasBudget ? undefined : NoFurtherAttempt.NoBudget;
  }

  #listLive({ service, trialNodeId }: RoutedRequest): ServerEntry[] {
    const { departures } = this.#dependencies;
    return this.#context.directory
      .serversOf(service)
      .filter((entry) => isLive(entry) && !departures.isDeparting(entry))
      .filter(({ node }) => trialNodeId === undefined || node.nodeId === trialNodeId);
  }

  /**
   * Finds the live servers of the right version that were not tried, those on responsive nodes if
   * there are any. Beside an overdue attempt, one on another unresponsive node gains nothing.
   */
  #findCandidates(routed: RoutedRequest, state: AttemptState, canExpose: boolean): VersionChoice {
    const { service } = routed;
    const { tried } = state;
    const { versions, peers } = this.#dependencies;
    const choice = versions.choose(service, this.#listLive(routed), canExpose);
    const untried = choice.entries.filter(
      (entry) => tried.size === 0 || !tried.has(formatServerKey(entry)),
    );
    const reachable = untried.filter(({ node }) => !peers.isUnresponsive(node.nodeId));
    if (choice.exposure && reachable.length === 0)
      return this.#findCandidates(routed, state, false);
    const isOnlyReachable = reachable.length > 0 || state.open.size > 0;
    return { ...choice, entries: isOnlyReachable ? reachable : untried };
  }

  #findObstacle(
    routed: RoutedRequest,
    selection: Selection | undefined,
    state: AttemptState,
  ): NoFurtherAttempt | undefined {
    if (!selection) return NoFurtherAttempt.NoServer;
    return this.#isTooBusy(routed, selection, state) ? NoFurtherAttempt.NoRoomInTime : undefined;
  }

  /** Refuses a new request at once if even the best server, or this node itself, has no room in time. */
  #isTooBusy(routed: RoutedRequest, { expected }: Selection, state: AttemptState): boolean {
    const { costs } = this.#context;
    if (!costs || costs.reportedCallRoutes.has(routed.route.name)) return false;
    const nowMs = this.#context.getNowMs();
    const { objectiveAtMs, deadlineMs } = routed;
    const objectiveMs = objectiveAtMs === undefined ? undefined : objectiveAtMs - nowMs;
    const delayMs = computeNodeDelayMs(this.#context.readLatenessMs());
    const costMs = expected?.costMs ?? costs.routeCosts.getMeanMs(routed.route.name) ?? 0;
    const known =
      expected || delayMs > 0 ? { waitMs: (expected?.waitMs ?? 0) + delayMs, costMs } : undefined;
    if (!isTooBusy(known, { objectiveMs, untilDeadlineMs: deadlineMs - nowMs })) return false;
    const options = { isWritten: false, retryAfterMs: known?.waitMs };
    const target = state;
    target.lastError = new CallError(CallErrorCode.Refused, NoFurtherAttempt.NoRoomInTime, options);
    return true;
  }

  #selectServer(routed: RoutedRequest, state: AttemptState): Selection | undefined {
    const nowMs = this.#context.getNowMs();
    const { tried } = state;
    const isFirst = tried.size === 0 && routed.outerAttempt === 0;
    const choice = this.#findCandidates(routed, state, isFirst);
    this.#context.costs?.exchange.observeOwn(routed.service, nowMs);
    const selection = this.#dependencies.selector.select(choice.entries, {
      // The few servers of a share would distort the means of all servers.
      service: choice.exposure ? `${routed.service} ${choice.softwareVersion}` : routed.service,
      routeName: routed.route.name,
      priority: routed.priority,
      nowMs,
      random: this.#context.random,
    });
    Object.assign(state, { choice });
    if (!isLogged(LogLevel.Debug)) return selection;
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
        softwareVersion: selection?.entry.server.softwareVersion,
        versionReason: choice.reason,
        attempt: tried.size,
      },
      'server chosen',
    );
    return selection;
  }

  #handleFailure(routed: RoutedRequest, lastError: CallError | undefined): void {
    const { exchange, service } = routed;
    this.#entryLog.logNotServed(routed, {
      error: lastError,
      outcome: isKnownNotRun(lastError) ? RequestOutcome.NotRun : RequestOutcome.Unknown,
      liveServers: this.#listLive(routed).length,
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
