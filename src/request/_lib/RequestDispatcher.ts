import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import { ServerState } from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import { CallError, CallErrorCode } from '../../connection/CallError/index.js';
import { LogLevel, createLogger, isLogged } from '../../process/log/index.js';
import { Reach } from '../chooseVersion/index.js';
import { computeNodeDelayMs, isTooBusy } from '../judgeWait/index.js';
import { formatServerKey } from '../observeServers/index.js';
import AttemptLedger, { isKnownNotRun } from './AttemptLedger.js';
import { NoFurtherAttempt } from './AttemptRecord.js';
import OpenAttempts, { AttemptEventKind } from './OpenAttempts.js';
import { recordOutcome } from './recordOutcome.js';
import { RefusalReason } from './writeRefusal.js';

import type { CallSummary, ResponseTap } from '../../connection/UpstreamCall/index.js';
import type { ServerEntry } from '../../process/endpoints/types.js';
import type { RetryBudget } from '../budgetRetries/index.js';
import type { VersionChoice, VersionPolicy } from '../chooseVersion/index.js';
import type { EvidenceCollector } from '../collectEvidence/index.js';
import type WorkspaceLimiter from '../limitWorkspaces/index.js';
import type { Selection, ServerSelector } from '../selectServer/index.js';
import type DepartureTracker from '../trackDepartures/index.js';
import type PeerTracker from '../trackPeers/index.js';
import type { AttemptSituation } from './AttemptLedger.js';
import type { AttemptRecord } from './AttemptRecord.js';
import type { AttemptProgress, AttemptResult } from './OpenAttempts.js';
import type { RequestContext } from './RequestContext.js';
import type { OutcomeRecorders } from './recordOutcome.js';
import type { RoutedRequest } from './routeRequest.js';
import type ServerCaller from './ServerCaller.js';
import type { Attempt } from './ServerCaller.js';

const log = createLogger('routing');

/** Reason of a retry beside an attempt whose node has not acknowledged the request. */
const NOT_ACKNOWLEDGED = 'NOT_ACKNOWLEDGED';
const SERVICE_UNAVAILABLE = 503;

export interface RequestDispatcherDependencies extends OutcomeRecorders {
  caller: ServerCaller;
  selector: ServerSelector;
  budget: RetryBudget;
  peers: PeerTracker;
  departures: DepartureTracker;
  versions: VersionPolicy;
  /** Counts how attempts end by software version; undefined without roll-outs. */
  evidence?: EvidenceCollector | undefined;
  /** Undefined where quotas do not count. */
  workspaceLimiter: WorkspaceLimiter | undefined;
}

/** A request over its attempts. */
interface Dispatch {
  routed: RoutedRequest;
  /** Records the response to a request with an Idempotency-Key. */
  tap: ResponseTap | undefined;
  ledger: AttemptLedger;
  open: OpenAttempts;
}

/** A server selected for an attempt, and the servers that it was selected from. */
interface Target {
  selection: Selection | undefined;
  choice: VersionChoice;
}

const isLive = ({ server, node }: ServerEntry): boolean =>
  server.state === ServerState.SERVING && !node.draining;

/** Errors that the server, or the node beside it, has caused after the server got the request. */
const SERVER_ERRORS = new Set([
  CallErrorCode.Shed,
  CallErrorCode.TimedOut,
  CallErrorCode.Truncated,
]);

const findReach = (result: AttemptResult): Reach =>
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

const describeEnd = (result: AttemptResult): Partial<AttemptRecord> =>
  result.match(
    ({ statusCode }) => ({ result: String(statusCode) }),
    ({ code, message }) => ({ result: code, reason: message }),
  );

const recordNoFurtherAttempt = (
  target: RoutedRequest,
  reason: NoFurtherAttempt | undefined,
): void => {
  Object.assign(target, { noFurtherAttempt: reason });
};

const describeSituation = ({ routed, open }: Dispatch): AttemptSituation => ({
  openAttempts: open.size,
  canBeSent: routed.exchange.canBeSent,
});

/** Sends each request to the best server, and to others while it may be retried. */
export default class RequestDispatcher {
  readonly #context: RequestContext;

  readonly #dependencies: RequestDispatcherDependencies;

  constructor(context: RequestContext, dependencies: RequestDispatcherDependencies) {
    this.#context = context;
    this.#dependencies = dependencies;
  }

  /**
   * Sends a request to servers until one responds. An attempt that the node beside its server has not
   * acknowledged stays open beside the next one, and the response that comes first is passed on.
   *
   * @param routed - request with its route
   * @param tap - records the response to a request with an Idempotency-Key
   * @returns the status passed on, or what is known about the failure; an undefined error means that no
   *   server was available
   */
  async dispatch(
    routed: RoutedRequest,
    tap?: ResponseTap,
  ): Promise<Result<CallSummary, CallError | undefined>> {
    const { route, outerAttempt, service } = routed;
    const { idempotent: isIdempotent, maxAttempts } = route;
    const ledger = new AttemptLedger({ isIdempotent, maxAttempts, outerAttempt });
    const open = new OpenAttempts();
    const dispatch: Dispatch = { routed, tap, ledger, open };
    this.#dependencies.budget.addRequest(service, this.#context.getNowMs());
    const summary = await this.#tryServers(dispatch);
    const runs = open.size + (summary ? 1 : 0);
    this.#returnRepeats(routed, ledger.countUnusedRepeats(runs));
    if (summary) return ok(summary);
    return this.#sendWithheld(dispatch) ?? err(ledger.error);
  }

  /** Makes attempts until one responds, or there can't be another one. */
  async #tryServers(dispatch: Dispatch): Promise<CallSummary | undefined> {
    const { open } = dispatch;
    this.#startAttempt(dispatch);
    while (open.size > 0) {
      const event = await open.next();
      if (event.kind === AttemptEventKind.Overdue) this.#handleOverdue(dispatch);
      else if (event.result.isOk()) return event.result.value;
      else this.#handleFailure(dispatch, event.key, event.result.error);
    }
    return undefined;
  }

  /** Returns the number of servers that accept a request. */
  countLive(routed: RoutedRequest): number {
    return this.#listLive(routed).length;
  }

  #handleOverdue(dispatch: Dispatch): void {
    const { routed, ledger, open } = dispatch;
    if (!open.areOverdue) return;
    if (ledger.mayRunAgain(describeSituation(dispatch))) {
      this.#startAttempt(dispatch, NOT_ACKNOWLEDGED);
    } else recordNoFurtherAttempt(routed, NoFurtherAttempt.NotRepeatable);
  }

  #handleFailure(dispatch: Dispatch, key: string, error: CallError): void {
    const { routed, ledger, open } = dispatch;
    ledger.recordFailure(key, error);
    if (!open.areOverdue) return;
    if (ledger.mayRetry(error, describeSituation(dispatch))) {
      this.#startAttempt(dispatch, error.code);
    } else recordNoFurtherAttempt(routed, NoFurtherAttempt.NotRepeatable);
  }

  /** Sends the response of a server that was withheld for a retry, if there is one. */
  #sendWithheld({
    routed: { exchange },
    ledger: { withheldResponse },
  }: Dispatch): AttemptResult | undefined {
    if (!withheldResponse || !exchange.canBeAnswered) return undefined;
    exchange.sendWithheld(withheldResponse);
    return ok(withheldResponse);
  }

  /** Starts an attempt on the best server, if there is one and a retry is within the budget. */
  #startAttempt(dispatch: Dispatch, retryReason?: string): void {
    const { routed, ledger, open } = dispatch;
    const target = this.#selectServer(dispatch);
    const obstacle =
      this.#findObstacle(dispatch, target.selection) ??
      (retryReason === undefined ? undefined : this.#chargeRetry(dispatch, retryReason));
    recordNoFurtherAttempt(routed, obstacle);
    const { selection, choice } = target;
    if (!selection || obstacle !== undefined) return;
    ledger.chargeRepeat(open.size, () => this.#chargeRepeat(routed));
    open.start(formatServerKey(selection.entry), (progress) =>
      this.#attempt(dispatch, { selection, choice, progress }),
    );
  }

  #findObstacle(
    dispatch: Dispatch,
    selection: Selection | undefined,
  ): NoFurtherAttempt | undefined {
    if (!selection) return NoFurtherAttempt.NoServer;
    return this.#isTooBusy(dispatch, selection) ? NoFurtherAttempt.NoRoomInTime : undefined;
  }

  #chargeRetry(
    { routed: { service }, ledger, open }: Dispatch,
    reason: string,
  ): NoFurtherAttempt | undefined {
    const take = (): boolean => this.#dependencies.budget.take(service, this.#context.getNowMs());
    const hasBudget = ledger.chargeRetry(open.size, take);
    const name = hasBudget ? 'requests_retried' : 'retries_over_budget';
    this.#context.metrics.counter(name, { reason }).value += 1;
    return hasBudget ? undefined : NoFurtherAttempt.NoBudget;
  }

  /** Charges a further attempt to the quota, as it may run at a second server. */
  #chargeRepeat({ workspace }: RoutedRequest): void {
    if (workspace) this.#dependencies.workspaceLimiter?.addRepeat(workspace.name);
  }

  /** Returns charges for repeats that certainly reached no server. */
  #returnRepeats({ workspace }: RoutedRequest, count: number): void {
    if (!workspace) return;
    Array.from({ length: count }).forEach(() =>
      this.#dependencies.workspaceLimiter?.giveBack(workspace.name),
    );
  }

  async #attempt(
    dispatch: Dispatch,
    target: { selection: Selection; choice: VersionChoice; progress: AttemptProgress },
  ): Promise<AttemptResult> {
    const { routed, tap, ledger, open } = dispatch;
    const { selection, choice, progress } = target;
    const { entry } = selection;
    const { observations, breaker, caller, versions } = this.#dependencies;
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
      number: routed.outerAttempt + ledger.attempts,
      shouldWithhold: ({ statusCode }) =>
        statusCode === SERVICE_UNAVAILABLE &&
        (open.size > 1 || ledger.mayRunAgain(describeSituation(dispatch))),
      onOverdue: progress.reportOverdue,
      onAcknowledged: () => {
        record.acknowledgedMs ??= readElapsedMs(routed);
        progress.reportAcknowledged();
      },
    };
    ledger.addAttempt(key);
    versions.charge(choice);
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
    result: AttemptResult,
    choice: VersionChoice,
  ): void {
    const { versions, evidence } = this.#dependencies;
    const { service, route, exchange } = routed;
    versions.recordAttempt(service, choice, findReach(result));
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

  #listLive({ service, trialNodeId }: RoutedRequest): ServerEntry[] {
    const { departures } = this.#dependencies;
    return this.#context.directory
      .serversOf(service)
      .filter((entry) => isLive(entry) && !departures.isDeparting(entry))
      .filter(({ node }) => trialNodeId === undefined || node.nodeId === trialNodeId);
  }

  /**
   * Finds the live servers of the right version that were not tried, those on responsive nodes if
   * there are any. Beside an overdue attempt, those on other unresponsive nodes gain nothing, and those
   * that have refused the request may have room by then.
   */
  #findCandidates(dispatch: Dispatch, canExpose: boolean): VersionChoice {
    const { routed, ledger, open } = dispatch;
    const { versions, peers } = this.#dependencies;
    const choice = versions.choose(routed.service, this.#listLive(routed), canExpose);
    const isReachable = ({ node }: ServerEntry): boolean => !peers.isUnresponsive(node.nodeId);
    const untried =
      ledger.attempts === 0
        ? choice.entries
        : choice.entries.filter((entry) => ledger.isUntried(formatServerKey(entry)));
    const reachable = untried.filter(isReachable);
    if (choice.exposure && reachable.length === 0) return this.#findCandidates(dispatch, false);
    if (reachable.length > 0) return { ...choice, entries: reachable };
    if (open.size === 0) return { ...choice, entries: untried };
    const refused = choice.entries.filter((entry) => ledger.hasRefused(formatServerKey(entry)));
    return { ...choice, entries: refused.filter(isReachable) };
  }

  /** Refuses a new request at once if even the best server, or this node itself, has no room in time. */
  #isTooBusy({ routed, ledger }: Dispatch, { expected }: Selection): boolean {
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
    ledger.recordObstacle(
      new CallError(CallErrorCode.Refused, NoFurtherAttempt.NoRoomInTime, options),
    );
    return true;
  }

  #selectServer(dispatch: Dispatch): Target {
    const { routed, ledger } = dispatch;
    const nowMs = this.#context.getNowMs();
    const isFirst = ledger.attempts === 0 && routed.outerAttempt === 0;
    const choice = this.#findCandidates(dispatch, isFirst);
    this.#context.costs?.exchange.observeOwn(routed.service, nowMs);
    const selection = this.#dependencies.selector.select(choice.entries, {
      // The few servers of a share would distort the means of all servers.
      service: choice.exposure ? `${routed.service} ${choice.softwareVersion}` : routed.service,
      routeName: routed.route.name,
      priority: routed.priority,
      nowMs,
      random: this.#context.random,
    });
    if (isLogged(LogLevel.Debug)) this.#logChoice(dispatch, { selection, choice });
    return { selection, choice };
  }

  #logChoice({ routed, ledger }: Dispatch, { selection, choice }: Target): void {
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
        attempt: ledger.attempts,
      },
      'server chosen',
    );
  }
}
