import type { Result } from 'neverthrow';
import { computeOccupancy } from '../../process/localServers/index.js';
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
  formatCallHeader,
  formatKeyHeader,
  parseLoad,
} from './internalHeaders.js';
import createKeyCheck from './createKeyCheck.js';
import MAX_NODE_CONNECTIONS from './maxNodeConnections.js';

import { CallErrorCode } from '../../connection/CallError/index.js';
import PolledTimeout from '../../process/PolledTimeout/index.js';
import { createRateLimitedLogger } from '../../process/log/createRateLimitedLogger/index.js';
import { createLogger } from '../../process/log/index.js';
import { parseAnswerReport } from '../shareReports/index.js';
import { recordReport } from '../observeServers/index.js';

import type { CallError } from '../../connection/CallError/index.js';
import type ResponseHolder from '../../connection/holdResponses/index.js';
import type {
  CallSummary,
  ResponseHead,
  ResponseTap,
  UpstreamCallOptions,
} from '../../connection/UpstreamCall/index.js';
import type { UpstreamPools } from '../../connection/UpstreamPools/index.js';
import type { ServerEntry } from '../../process/endpoints/types.js';
import type { LocalServer } from '../../process/localServers/index.js';
import type { GrantedSlot, GrantedSlotCache } from '../cacheGrantedSlots/index.js';
import type { ServerObservation } from '../observeServers/index.js';
import type LocalCaller from './LocalCaller.js';
import type DepartureTracker from '../trackDepartures/index.js';
import type PeerTracker from '../trackPeers/index.js';
import type { RequestContext } from './RequestContext.js';
import type { RoutedRequest } from './routeRequest.js';

/** Limit on log lines about late acknowledgements. */
const LATE_LINES_PER_SECOND = 5;

const log = createLogger('hop');
const lateLog = createRateLimitedLogger('hop', LATE_LINES_PER_SECOND);

/**
 * Timeout for the acknowledgement of a forwarded request: allows for a round trip, a retransmission and
 * a busy processor. Needed because a connection over a broken link reports no error.
 */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 450;
const LIMIT_DIGITS = 3;
const FIRST_SERVER_ERROR = 500;
const MAX_CALL_ROUTES = 512;

/** An attempt to serve a request on one server. */
export interface Attempt {
  routed: RoutedRequest;
  entry: ServerEntry;
  /** Key of the server, unique among all nodes. */
  key: string;
  observation: ServerObservation;
  /** Number of earlier attempts, including those of outer layers. */
  number: number;
  /** Returns whether to withhold a response from the caller because the request is retried. */
  shouldWithhold: (head: ResponseHead) => boolean;
  /**
   * Called when the node beside the server has not acknowledged the request in time, and again each time
   * that the same time has passed without it.
   */
  onOverdue: () => void;
  /** Called when the node beside the server acknowledges the request, at the latest by its answer. */
  onAcknowledged: () => void;
  /** Records the response to a request with an Idempotency-Key. */
  tap?: ResponseTap;
  /** Set when the request is sent to the node beside the server. */
  hop?: { isAcknowledged: boolean };
}

export interface ServerCallerDependencies {
  localCaller: LocalCaller;
  nodePools: UpstreamPools;
  /** Direct connections to servers of other nodes. */
  serverPools: UpstreamPools;
  grantedSlots: GrantedSlotCache;
  peers: PeerTracker;
  departures: DepartureTracker;
  /** Holds responses without a length. */
  holder: ResponseHolder;
}

/** Keeps which routes are those of calls; the number of routes bounds the memory. */
const recordCallRoute = (routes: Set<string>, routeName: string, isCall: boolean): void => {
  if (isCall && routes.size < MAX_CALL_ROUTES) routes.add(routeName);
  else routes.delete(routeName);
};

/** Calls the selected server: locally, directly with a granted slot, or through its owner node. */
export default class ServerCaller {
  readonly #context: RequestContext;

  readonly #dependencies: ServerCallerDependencies;

  readonly #directCalls;

  constructor(context: RequestContext, dependencies: ServerCallerDependencies) {
    this.#context = context;
    this.#dependencies = dependencies;
    this.#directCalls = context.metrics.counter('requests_direct');
  }

  /**
   * Makes one attempt.
   *
   * @param attempt - request and selected server
   * @returns the status passed on, or what is known about a failure
   */
  call(attempt: Attempt): Promise<Result<CallSummary, CallError>> {
    const { entry } = attempt;
    const isLocal = entry.node.nodeId === this.#context.nodeId;
    const local = isLocal ? this.#context.localServers.find(entry.server.serverId) : undefined;
    if (local) return this.#callLocally(attempt, local);
    const slot = this.#acquireGrantedSlot(attempt);
    return slot ? this.#callDirectly(attempt, slot) : this.#forward(attempt);
  }

  #callLocally(attempt: Attempt, local: LocalServer): Promise<Result<CallSummary, CallError>> {
    const { routed, observation, number, shouldWithhold, tap } = attempt;
    const nowMs = this.#context.getNowMs();
    const report = {
      load: computeOccupancy(local, nowMs),
      holdMs: local.gate.estimateHoldMs(nowMs),
    };
    recordReport(observation, report, observation.inFlight, nowMs);
    const { maxRequestsPerSecond } = observation;
    if (maxRequestsPerSecond !== undefined) {
      this.#context.localServers.adoptLimit(local, maxRequestsPerSecond, nowMs);
    }
    const localRequest = {
      routeName: routed.route.name,
      isIdempotent: routed.route.idempotent,
      isRetry: number > 0,
      deadlineMs: routed.deadlineMs,
      objectiveAtMs: routed.objectiveAtMs,
      workspace: routed.workspace?.name,
      priority: routed.priority,
      isReturn: routed.isReturn,
      requestId: routed.requestId,
      callerService: this.#context.callerService(),
      findKeyFault: createKeyCheck(this.#context, routed),
    };
    const target = {
      path: routed.path,
      createHeaders: () => this.#createServerHeaders(attempt),
    };
    return this.#dependencies.localCaller.call(routed.exchange, local, localRequest, target, {
      shouldWithhold,
      tap,
      ...this.#createUnframedOptions(routed),
      onHead: (head) => this.#readNotice(attempt, head),
    });
  }

  #createUnframedOptions({
    exchange,
  }: RoutedRequest): Pick<UpstreamCallOptions, 'holder' | 'onHeld' | 'onUnframed'> {
    return {
      holder: this.#dependencies.holder,
      onHeld: () => exchange.closeAfterResponse(),
      onUnframed: () => exchange.delimitByClose(),
    };
  }

  #acquireGrantedSlot({ routed, entry, key }: Attempt): GrantedSlot | undefined {
    if (entry.server.directAddress === '') return undefined;
    const remainingMs = routed.deadlineMs - this.#context.getNowMs();
    return this.#dependencies.grantedSlots.acquire(key, remainingMs, performance.now());
  }

  async #callDirectly(
    attempt: Attempt,
    slot: GrantedSlot,
  ): Promise<Result<CallSummary, CallError>> {
    const { routed, entry, shouldWithhold, tap } = attempt;
    const { directAddress, connections } = entry.server;
    this.#directCalls.value += 1;
    const pool = this.#dependencies.serverPools.get(directAddress, connections);
    const target = { path: routed.path, headers: this.#createServerHeaders(attempt) };
    const result = await routed.exchange.call(pool, target, {
      isNode: false,
      shouldWithhold,
      tap,
      ...this.#createUnframedOptions(routed),
    });
    this.#dependencies.grantedSlots.release(slot);
    return result;
  }

  async #forward(attempt: Attempt): Promise<Result<CallSummary, CallError>> {
    const { routed, entry } = attempt;
    const { exchange, objectiveAtMs } = routed;
    const { nodeId, forwardAddress } = entry.node;
    const headers = this.#createNodeHeaders(attempt);
    const call = {
      serverId: entry.server.serverId,
      routeName: routed.route.name,
      isIdempotent: routed.route.idempotent,
      requestId: routed.requestId,
      version: routed.version,
      entryNodeId: this.#context.nodeId,
      callerService: this.#context.callerService(),
      priority: routed.priority,
      objectiveMs:
        objectiveAtMs === undefined
          ? 0
          : Math.max(1, Math.floor(objectiveAtMs - this.#context.getNowMs())),
      isReturn: routed.isReturn,
    };
    headers.push(CALL_HEADER, formatCallHeader(call));
    if (entry.server.directAddress !== '') headers.push(GRANT_WANTED_HEADER, '1');
    const sentAtMs = performance.now();
    const pool = this.#dependencies.nodePools.get(forwardAddress, MAX_NODE_CONNECTIONS);
    const { peers } = this.#dependencies;
    let isOverdue = false;
    const acknowledgementTimeout = new PolledTimeout(() => {
      if (!isOverdue) this.#avoidNode(attempt);
      isOverdue = true;
      attempt.onOverdue();
      acknowledgementTimeout.refresh();
    }, ACKNOWLEDGEMENT_TIMEOUT_MS);
    const hop = { isAcknowledged: false };
    Object.assign(attempt, { hop });
    const markAlive = (): void => {
      if (!hop.isAcknowledged && isOverdue) {
        this.#logLateAcknowledgement(attempt, sentAtMs, performance.now());
      }
      hop.isAcknowledged = true;
      attempt.onAcknowledged();
      acknowledgementTimeout.cancel();
      // A node that responds so late is avoided until it answers a probe in time.
      if (!isOverdue) peers.recordResponse(nodeId);
    };
    const result = await exchange.call(
      pool,
      { path: routed.path, headers },
      {
        isNode: true,
        shouldWithhold: attempt.shouldWithhold,
        tap: attempt.tap,
        onAcknowledged: markAlive,
        ...this.#createUnframedOptions(routed),
        onHead: (head) => {
          markAlive();
          this.#readInternalHeaders(attempt, head, sentAtMs);
          this.#readNotice(attempt, head);
        },
      },
    );
    acknowledgementTimeout.cancel();
    const isUnreachable = result.isErr() && result.error.code === CallErrorCode.NotWritten;
    if (isUnreachable && !exchange.isAborted) peers.recordFailure(nodeId, this.#context.getNowMs());
    return result;
  }

  /**
   * Avoids a node that did not acknowledge a request, and retires the connections to it. The request
   * itself waits on its connection: it may be running, and the node may only be slow.
   */
  #avoidNode({ routed, entry }: Attempt): void {
    const { nodeId, forwardAddress } = entry.node;
    const nowMs = this.#context.getNowMs();
    const isNewlyUnresponsive = this.#dependencies.peers.recordFailure(nodeId, nowMs);
    if (!isNewlyUnresponsive) return;
    log.warn({ nodeId, requestId: routed.requestId }, 'node did not acknowledge a request');
    this.#dependencies.nodePools.retire(forwardAddress);
  }

  #logLateAcknowledgement(
    { routed: { requestId }, entry }: Attempt,
    sentAtMs: number,
    nowMs: number,
  ): void {
    const elapsedMs = Math.round(nowMs - sentAtMs);
    lateLog.info(
      nowMs,
      () => ({ nodeId: entry.node.nodeId, requestId, elapsedMs }),
      'node acknowledged a request late',
    );
  }

  #readInternalHeaders(attempt: Attempt, head: ResponseHead, sentAtMs: number): void {
    const grantId = head.internal?.get(GRANT_HEADER);
    if (grantId !== undefined) {
      const ownerAddress = attempt.entry.node.forwardAddress;
      this.#dependencies.grantedSlots.add(
        { id: grantId, key: attempt.key, ownerAddress },
        sentAtMs,
      );
    }
    const { observation } = attempt;
    this.#readWork(attempt, head);
    const report = parseLoad(head.internal?.get(LOAD_HEADER));
    if (report === undefined) return;
    // The answered request still counts as in flight here, but no longer on the owner node.
    const inFlightAtReport = Math.max(0, observation.inFlight - 1);
    recordReport(observation, report, inFlightAtReport, this.#context.getNowMs());
  }

  /** Keeps what the node beside the server reports of its work, and of that at other servers. */
  #readWork({ routed, key, observation }: Attempt, { internal, statusCode }: ResponseHead): void {
    const { costs } = this.#context;
    if (!costs) return;
    const nowMs = this.#context.getNowMs();
    const answer = parseAnswerReport(internal?.get(WORK_HEADER), nowMs);
    if (answer) costs.exchange.recordAnswer(key, observation, answer.report);
    if (answer) recordCallRoute(costs.reportedCallRoutes, routed.route.name, answer.isCall);
    if (answer && answer.heldMs > 0 && statusCode < FIRST_SERVER_ERROR)
      costs.routeCosts.addAnswer(routed.route.name, answer.heldMs, answer.meanMs);
    costs.exchange.absorb(internal?.get(REPORTS_HEADER), nowMs);
  }

  /** Keeps what the server states about itself for the requests that follow. */
  #readNotice({ routed, entry, observation }: Attempt, head: ResponseHead): void {
    const notice = this.#context.dialect.readServerNotice(head, routed.requestId);
    if (!notice) return;
    const { maxRequestsPerSecond, isLeaving } = notice;
    Object.assign(observation, { maxRequestsPerSecond });
    if (isLeaving) this.#dependencies.departures.record(entry, this.#context.getNowMs());
  }

  #createServerHeaders({ routed, entry, number }: Attempt): string[] {
    const { dialect, callerService, getNowMs } = this.#context;
    const facts = {
      requestId: routed.requestId,
      serverId: entry.server.serverId,
      callerService: callerService(),
      remainingMs: routed.deadlineMs - getNowMs(),
      workspace: routed.workspace?.name,
      attempt: number,
    };
    return [...routed.exchange.headers, ...dialect.createServerHeaders(facts)];
  }

  #createNodeHeaders({ routed, entry, observation, number }: Attempt): string[] {
    const remainingMs = Math.max(0, Math.floor(routed.deadlineMs - this.#context.getNowMs()));
    const headers = [...routed.exchange.headers, DEADLINE_HEADER, String(remainingMs)];
    const { costs, dataCentre } = this.#context;
    const reports =
      entry.node.dataCentre === dataCentre
        ? costs?.exchange.formatIfDue(this.#context.getNowMs())
        : undefined;
    if (reports !== undefined) headers.push(REPORTS_HEADER, reports);
    if (number > 0) headers.push(ATTEMPT_HEADER, String(number));
    const { workspace, keyId } = routed;
    if (workspace && keyId !== undefined) {
      const proofLeftMs = this.#context.readKeyProofLeftMs();
      const key = { workspaceName: workspace.name, keyId, proofLeftMs };
      headers.push(KEY_HEADER, formatKeyHeader(key));
    }
    const { maxRequestsPerSecond } = observation;
    if (maxRequestsPerSecond !== undefined)
      headers.push(LIMIT_HEADER, maxRequestsPerSecond.toFixed(LIMIT_DIGITS));
    return headers;
  }
}
