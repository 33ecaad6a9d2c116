import type { Result } from 'neverthrow';
import { computeOccupancy } from '../../process/localServers/index.js';
import {
  ATTEMPT_HEADER,
  CALL_HEADER,
  DEADLINE_HEADER,
  GRANT_HEADER,
  GRANT_WANTED_HEADER,
  LOAD_HEADER,
  formatCallHeader,
  parseLoad,
} from './callHeader.js';
import MAX_NODE_CONNECTIONS from './nodeConnections.js';

import { CallErrorCode } from '../../connection/CallError/index.js';
import { createLogger } from '../../process/log/index.js';
import { recordReport } from '../observeServers/index.js';

import type { CallError } from '../../connection/CallError/index.js';
import type {
  CallSummary,
  ResponseHead,
  ResponseTap,
} from '../../connection/UpstreamCall/index.js';
import type { UpstreamPools } from '../../connection/UpstreamPools/index.js';
import type { ServerEntry } from '../../process/endpoints/types.js';
import type { LocalServer } from '../../process/localServers/index.js';
import type { BorrowedSlot, SlotBorrower } from '../borrowSlots/index.js';
import type { ServerObservation } from '../observeServers/index.js';
import type LocalCaller from './LocalCaller.js';
import type PeerTracker from '../trackPeers/index.js';
import type { RequestContext } from './RequestContext.js';
import type { RoutedRequest } from './routeRequest.js';

const log = createLogger('hop');

/**
 * Time in which a node acknowledges a request: a round trip, a retransmission and a busy processor. A
 * connection over a cut link stays silent without an error.
 */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 450;

/** One attempt of a request at one server. */
export interface Attempt {
  routed: RoutedRequest;
  entry: ServerEntry;
  key: string;
  observation: ServerObservation;
  /** 0 for a first attempt, outer layers included. */
  number: number;
  /** Tells whether a response is withheld from the caller because the request is retried. */
  shouldWithhold: (head: ResponseHead) => boolean;
  /** Copies the response, for requests with an Idempotency-Key. */
  tap?: ResponseTap;
}

export interface ServerCallerParts {
  localCaller: LocalCaller;
  nodePools: UpstreamPools;
  /** Direct connections to servers beside other nodes. */
  serverPools: UpstreamPools;
  borrower: SlotBorrower;
  peers: PeerTracker;
}

/** Sends a request to a chosen server, directly or through the node beside it. */
export default class ServerCaller {
  readonly #context: RequestContext;

  readonly #parts: ServerCallerParts;

  readonly #directCalls;

  constructor(context: RequestContext, parts: ServerCallerParts) {
    this.#context = context;
    this.#parts = parts;
    this.#directCalls = context.metrics.counter('requests_direct');
  }

  /** Makes one attempt. */
  call(attempt: Attempt): Promise<Result<CallSummary, CallError>> {
    const { entry } = attempt;
    const isBeside = entry.node.nodeId === this.#context.nodeId;
    const local = isBeside ? this.#context.localServers.find(entry.server.serverId) : undefined;
    if (local) return this.#callBeside(attempt, local);
    const slot = this.#takeBorrowed(attempt);
    return slot ? this.#callDirectly(attempt, slot) : this.#forward(attempt);
  }

  #callBeside(attempt: Attempt, local: LocalServer): Promise<Result<CallSummary, CallError>> {
    const { routed, observation, number, shouldWithhold, tap } = attempt;
    const nowMs = this.#context.getNowMs();
    const report = {
      load: computeOccupancy(local, nowMs),
      holdMs: local.gate.estimateHoldMs(nowMs),
    };
    recordReport(observation, report, observation.inFlight, nowMs);
    const work = {
      routeName: routed.route.name,
      isIdempotent: routed.route.idempotent,
      isRetry: number > 0,
      deadlineMs: routed.deadlineMs,
      objectiveAtMs: routed.objectiveAtMs,
      priority: routed.route.priority,
      isReturn: routed.isReturn,
      requestId: routed.requestId,
    };
    const target = {
      path: routed.path,
      createHeaders: () => this.#createServerHeaders(attempt),
    };
    return this.#parts.localCaller.call(routed.exchange, local, work, target, {
      shouldWithhold,
      tap,
      onUnframed: () => routed.exchange.endWithConnection(),
    });
  }

  #takeBorrowed({ routed, entry, key }: Attempt): BorrowedSlot | undefined {
    if (entry.server.directAddress === '') return undefined;
    const remainingMs = routed.deadlineMs - this.#context.getNowMs();
    return this.#parts.borrower.acquire(key, remainingMs, performance.now());
  }

  async #callDirectly(
    attempt: Attempt,
    slot: BorrowedSlot,
  ): Promise<Result<CallSummary, CallError>> {
    const { routed, entry, shouldWithhold, tap } = attempt;
    const { directAddress, connections } = entry.server;
    this.#directCalls.value += 1;
    const pool = this.#parts.serverPools.get(directAddress, connections);
    const target = { path: routed.path, headers: this.#createServerHeaders(attempt) };
    const result = await routed.exchange.call(pool, target, {
      isNode: false,
      shouldWithhold,
      tap,
      onUnframed: () => routed.exchange.endWithConnection(),
    });
    this.#parts.borrower.release(slot);
    return result;
  }

  async #forward(attempt: Attempt): Promise<Result<CallSummary, CallError>> {
    const { routed, entry } = attempt;
    const { exchange, route, objectiveAtMs } = routed;
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
      priority: route.priority,
      objectiveMs:
        objectiveAtMs === undefined
          ? 0
          : Math.max(1, Math.floor(objectiveAtMs - this.#context.getNowMs())),
      isReturn: routed.isReturn,
    };
    headers.push(CALL_HEADER, formatCallHeader(call));
    if (entry.server.directAddress !== '') headers.push(GRANT_WANTED_HEADER, '1');
    const askedAtMs = performance.now();
    const pool = this.#parts.nodePools.get(forwardAddress, MAX_NODE_CONNECTIONS);
    const { peers } = this.#parts;
    const silence = setTimeout(() => this.#noteSilent(attempt), ACKNOWLEDGEMENT_TIMEOUT_MS);
    const noteAlive = (): void => {
      clearTimeout(silence);
      peers.recordResponse(nodeId);
    };
    const result = await exchange.call(
      pool,
      { path: routed.path, headers },
      {
        isNode: true,
        shouldWithhold: attempt.shouldWithhold,
        tap: attempt.tap,
        onAcknowledged: noteAlive,
        onUnframed: () => exchange.endWithConnection(),
        onHead: (head) => {
          noteAlive();
          this.#readReports(attempt, head, askedAtMs);
        },
      },
    );
    clearTimeout(silence);
    const isUnreachable = result.isErr() && result.error.code === CallErrorCode.NotWritten;
    if (isUnreachable && !exchange.isOver) peers.recordFailure(nodeId, this.#context.getNowMs());
    return result;
  }

  /**
   * Gives up the connections to a node that did not acknowledge. An idempotent request goes to another
   * one; any other may be running and keeps its connection until its deadline.
   */
  #noteSilent({ routed, entry }: Attempt): void {
    const { nodeId, forwardAddress } = entry.node;
    const nowMs = this.#context.getNowMs();
    const isNews = this.#parts.peers.recordFailure(nodeId, nowMs);
    if (isNews)
      log.warn({ nodeId, requestId: routed.requestId }, 'node does not acknowledge requests');
    if (isNews) this.#parts.nodePools.retire(forwardAddress);
    if (routed.route.idempotent)
      routed.exchange.cancelCall('node does not acknowledge the request');
  }

  #readReports(attempt: Attempt, head: ResponseHead, askedAtMs: number): void {
    const grantId = head.internal?.get(GRANT_HEADER);
    if (grantId !== undefined) {
      const lenderAddress = attempt.entry.node.forwardAddress;
      this.#parts.borrower.add({ id: grantId, key: attempt.key, lenderAddress }, askedAtMs);
    }
    const { observation } = attempt;
    const report = parseLoad(head.internal?.get(LOAD_HEADER));
    if (report === undefined) return;
    // The answered request is still counted here, but not any more beside the server.
    const inFlightAtReport = Math.max(0, observation.inFlight - 1);
    recordReport(observation, report, inFlightAtReport, this.#context.getNowMs());
  }

  #createServerHeaders({ routed, entry, number }: Attempt): string[] {
    const { dialect, callerService, getNowMs } = this.#context;
    const facts = {
      requestId: routed.requestId,
      serverId: entry.server.serverId,
      callerService: callerService(),
      remainingMs: routed.deadlineMs - getNowMs(),
      attempt: number,
    };
    return [...routed.exchange.headers, ...dialect.createServerHeaders(facts)];
  }

  #createNodeHeaders({ routed, number }: Attempt): string[] {
    const remainingMs = Math.max(0, Math.floor(routed.deadlineMs - this.#context.getNowMs()));
    const headers = [...routed.exchange.headers, DEADLINE_HEADER, String(remainingMs)];
    if (number > 0) headers.push(ATTEMPT_HEADER, String(number));
    return headers;
  }
}
