import { createServer as createHttpServer } from 'node:http';
import { createServer as createHttpsServer, Server as HttpsServer } from 'node:https';
import { Server as NetServer } from 'node:net';
import { setImmediate as immediate } from 'node:timers/promises';

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { ConnectRouter } from '@connectrpc/connect';
import AnswerBounds from '../../connection/boundAnswers/index.js';
import canConnect from '../../connection/canConnect/index.js';
import closeInOrder from '../../connection/closeInOrder/index.js';
import logAcceptErrors from '../../connection/logAcceptErrors/index.js';
import { abortResponse, resetUnfinished } from '../../connection/delimitByClose/index.js';
import ResponseHolder from '../../connection/holdResponses/index.js';
import { keepTransports } from '../../connection/resetConnection/index.js';
import ResponsePipeline from '../../connection/ResponsePipeline/index.js';
import { formatAddress, splitAddress } from '../../connection/splitAddress/index.js';
import { UpstreamPools } from '../../connection/UpstreamPools/index.js';
import { checkOrderlyEnd } from '../../connection/watchResets/index.js';
import { createLogger } from '../../process/log/index.js';
import BodyReader from '../_lib/BodyReader.js';
import DrainWindow from '../_lib/DrainWindow.js';
import probePeers from '../_lib/probePeers.js';
import { EntryHandler } from '../_lib/EntryHandler.js';
import LocalCaller from '../_lib/LocalCaller.js';
import OwnerHandler from '../_lib/OwnerHandler.js';
import { ServerProbes } from '../../process/localServers/index.js';
import GrantClient from '../_lib/GrantClient.js';
import RequestDispatcher from '../_lib/RequestDispatcher.js';
import ServerCaller from '../_lib/ServerCaller.js';
import { FailureRateBreaker } from '../breakCircuit/index.js';
import { RatioRetryBudget } from '../budgetRetries/index.js';
import { GrantedSlotCache } from '../cacheGrantedSlots/index.js';
import {
  RecordCompleteness,
  IdempotencyGuard,
  IdempotencyStore,
  createIdempotencyRoutes,
} from '../idempotency/index.js';
import { SlotGrantor } from '../grantSlots/index.js';
import { computeNodeDelayMs } from '../judgeWait/index.js';
import { ReportExchange } from '../shareReports/index.js';
import DepartureTracker from '../trackDepartures/index.js';
import CallRoutes from '../recognizeCalls/index.js';
import { CrashDetector, CrashLedger } from '../trackCrashes/index.js';
import PeerTracker from '../trackPeers/index.js';
import recordDiscard, { DiscardReason } from '../recordDiscard/index.js';
import { RequestPacer } from '../paceRequests/index.js';
import PauseWatch from '../watchPauses/index.js';
import LatenessMonitor from '../watchLateness/index.js';
import { OwnDialect } from '../httpDialect/index.js';
import { ServerObservations, formatServerKey } from '../observeServers/index.js';
import { AnyVersionPolicy } from '../chooseVersion/index.js';
import { ExpectedCostSelector, TwoChoicesSelector } from '../selectServer/index.js';

import type { CallerLimits } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import type { TlsMaterial } from '../../connection/openTransport/index.js';
import type { RequestContext, RequestDirectory } from '../_lib/RequestContext.js';
import type { Instant } from '../../process/measureElapsed/index.js';
import type { RouteCosts } from '../../process/localServers/index.js';
import type { CircuitBreaker } from '../breakCircuit/index.js';
import type { RetryBudget } from '../budgetRetries/index.js';
import type { VersionPolicy } from '../chooseVersion/index.js';
import type { EvidenceCollector } from '../collectEvidence/index.js';
import type { IdempotencyRoutesOptions } from '../idempotency/index.js';
import type WorkspaceLimiter from '../limitWorkspaces/index.js';
import type { LeastDelaySelectorOptions, ServerSelector } from '../selectServer/index.js';

export type { RequestDirectory };

const log = createLogger('requests');

/** Covers retries after a timeout, yet lets a restarted data centre accept keyed requests soon. */
const DEFAULT_RETENTION_MS = 300_000;
const MAX_HEADER_BYTES = 32_768;
/** Limits the memory of a listener; further connections are closed immediately. */
const MAX_CONNECTIONS = 4_096;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
const HEADERS_TIMEOUT_MS = 10_000;
/** Allows for one lost packet; a node that accepts no connection within this time is avoided. */
const NODE_CONNECT_TIMEOUT_MS = 450;
/** Shorter than for nodes, because the server is on the same VM. */
const SERVER_CONNECT_TIMEOUT_MS = 250;
const DRAIN_POLL_MS = 10;
/** Time for the last responses to be sent before connections are closed. */
const FLUSH_TIMEOUT_MS = 100;
/** Time within which the draining record reaches every node of the data centre. */
const DEFAULT_DRAIN_GRACE_MS = 2_000;
/** Time without a request of another node after which a draining node closes their connections. */
const FORWARD_QUIET_MS = 200;
/** Well below half of the lease of granted slots, so that they are renewed in time. */
const MAINTENANCE_INTERVAL_MS = 100;
/** Maintenance rounds between removals of the state of unknown servers and nodes. */
const CLEANUP_INTERVAL_ROUNDS = 50;
/** Maintenance rounds between updates of the idempotency key holders; far below the retention. */
const OBSERVATION_INTERVAL_ROUNDS = 10;

/** Observations and location that a selector can use. */
export type SelectorDependencies = Pick<
  LeastDelaySelectorOptions,
  'observations' | 'breaker' | 'dataCentre' | 'nodeId'
>;

type OptionalContext =
  'random' | 'getNowMs' | 'dialect' | 'callerService' | 'isCurrent' | 'readKeyProofLeftMs';
/** Context that the server provides itself. */
type InternalContext = 'readLatenessMs' | 'isAfterPause' | 'readDrainLeftMs' | 'costs';

/** Options of a request server. */
export interface RequestServerOptions
  extends
    Omit<RequestContext, OptionalContext | InternalContext>,
    Partial<Pick<RequestContext, OptionalContext>> {
  /** `host:port` of the listener for callers. */
  listen: string;
  /** `host:port` of the listener for other nodes. */
  forwardListen: string;
  /** Set when `[tls]` is configured: returns the current material for mutual TLS between nodes. */
  tls?: () => TlsMaterial;
  /** Creates the selector from the observations of this node; `TwoChoicesSelector` by default. */
  createSelector?: (dependencies: SelectorDependencies) => ServerSelector;
  /** Costs of requests that this node learns; servers are selected by them if set. */
  routeCosts?: RouteCosts | undefined;
  /** `FailureRateBreaker` by default. */
  breaker?: CircuitBreaker;
  /** Narrows the servers of a request by software version; `AnyVersionPolicy` by default. */
  versions?: VersionPolicy;
  /** Counts how attempts end by software version. */
  evidence?: EvidenceCollector;
  /** Creates the retry budget, given a count of the known nodes; `RatioRetryBudget` by default. */
  createBudget?: (countNodes: () => number) => RetryBudget;
  /** Limits the requests of workspaces to this node's shares of their quotas; none by default. */
  workspaceLimiter?: WorkspaceLimiter | undefined;
  /**
   * Time for which a repeat with the same Idempotency-Key is recognized. A holder accepts no key for
   * this time after its start, so a longer retention delays the first keyed requests.
   */
  idempotencyRetentionMs?: number;
  /** Start time of this node, in milliseconds since the epoch; the current time by default. */
  startedAtMs?: number;
  /** Interval between probes of the local servers; 0 disables probes. */
  probeIntervalMs?: number;
  /** Memory of the VM, from which the bound on unread answers follows; the smallest VM by default. */
  memoryMb?: number | undefined;
  /** Time for which a draining node still accepts new requests. */
  drainGraceMs?: number;
  /**
   * Delay from the start of draining until the local servers are announced as draining to other nodes;
   * 0 by default. Callers of this node may need longer to notice the drain.
   */
  drainAnnounceDelayMs?: number;
}

const createTlsOptions = (material: TlsMaterial) => ({
  ...material,
  minVersion: 'TLSv1.3' as const,
  requestCert: true,
  rejectUnauthorized: true,
});

/** `host:port` to which each listener is bound. */
export interface RequestAddresses {
  listen: string;
  forwardListen: string;
}

const listenOn = (server: Server, address: string): Promise<string> =>
  new Promise((resolve, reject) => {
    const { host, port } = splitAddress(address);
    server.once('error', reject);
    server.listen({ host, port }, () => {
      server.off('error', reject);
      logAcceptErrors(server);
      const bound = server.address() as AddressInfo;
      resolve(formatAddress({ host, port: bound.port }));
    });
  });

const closeServer = (server: Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
  });

/**
 * Accepts no further connections and leaves the open ones alone.
 *
 * `http.Server.close` also destroys connections whose last response has ended but is not sent yet.
 */
const stopListening = (server: Server): Promise<void> =>
  new Promise((resolve) => {
    NetServer.prototype.close.call(server, () => resolve());
  });

const delay = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** Resolves once all connections are read on which bytes have arrived. */
const pollConnections = async (): Promise<void> => {
  // The first one may be called within the poll that was waited for.
  await immediate();
  await immediate();
};

/**
 * Serves requests on a node, with a listener for callers and a listener for other nodes.
 *
 * @example
 * const server = new RequestServer(options);
 * const { listen } = await server.start();
 * await server.drain();
 * await server.stop();
 */
export class RequestServer {
  readonly #options: RequestServerOptions;

  readonly #context: RequestContext;

  readonly #entryListener: Server;

  readonly #ownerListener: Server;

  readonly #serverPools: UpstreamPools;

  readonly #nodePools: UpstreamPools;

  readonly #observations = new ServerObservations();

  readonly #recordCompleteness: RecordCompleteness;

  readonly #idempotencyOptions: IdempotencyRoutesOptions;

  readonly #idempotencyGuard: IdempotencyGuard;

  readonly #probes: ServerProbes;

  readonly #grantedSlots = new GrantedSlotCache();

  readonly #peers = new PeerTracker();

  readonly #departures = new DepartureTracker();

  readonly #crashLedger = new CrashLedger();

  readonly #grantor: SlotGrantor;

  readonly #grantClient: GrantClient;

  readonly #breaker: CircuitBreaker;

  readonly #lateness = new LatenessMonitor(MAINTENANCE_INTERVAL_MS);

  readonly #pauses = new PauseWatch();

  readonly #pacer: RequestPacer;

  /** Open connections to this node. */
  readonly #callerSockets = new WeakSet<Socket>();

  readonly #answerBounds: AnswerBounds;

  #maintenanceRounds = 0;

  #inFlight = 0;

  /** When another node sent the last request, on the clock of `performance.now()`. */
  #lastForwardedAtMs = -Infinity;

  /** Set while the node drains. */
  #drainWindow: DrainWindow | undefined;

  #maintenanceTimer: NodeJS.Timeout | undefined;

  constructor(options: RequestServerOptions) {
    this.#options = options;
    this.#context = {
      ...options,
      readLatenessMs: () => this.#lateness.meanMs,
      random: options.random ?? Math.random,
      getNowMs: options.getNowMs ?? Date.now,
      dialect: options.dialect ?? new OwnDialect(),
      callerService: options.callerService ?? (() => ''),
      isCurrent: options.isCurrent ?? (() => true),
      readKeyProofLeftMs: options.readKeyProofLeftMs ?? (() => Infinity),
      readDrainLeftMs: () => this.#drainWindow?.readLeftMs(performance.now()) ?? Infinity,
      isAfterPause: () => this.#pauses.isAfterPause(this.#readInstant()),
      costs: options.routeCosts && {
        routeCosts: options.routeCosts,
        exchange: new ReportExchange(this.#observations, options.localServers, () =>
          computeNodeDelayMs(this.#lateness.meanMs),
        ),
        callRoutes: new CallRoutes(),
        reportedCallRoutes: new Set(),
      },
    };
    const abandonedRequests = options.metrics.counter('requests_abandoned');
    this.#pacer = new RequestPacer({
      onAbandoned: () => {
        abandonedRequests.value += 1;
      },
    });
    const { metrics, memoryMb } = options;
    this.#answerBounds = new AnswerBounds({ metrics, memoryMb });
    this.#serverPools = new UpstreamPools({
      metrics,
      connectTimeoutMs: SERVER_CONNECT_TIMEOUT_MS,
      onUnrequestedBytes: (address) => {
        const discard = { reason: DiscardReason.NoRequest, address };
        recordDiscard(metrics, discard, this.#context.getNowMs());
      },
    });
    this.#nodePools = new UpstreamPools({
      metrics,
      tls: options.tls,
      connectTimeoutMs: NODE_CONNECT_TIMEOUT_MS,
    });
    this.#grantor = new SlotGrantor(options.localServers.record().incarnation);
    this.#grantClient = new GrantClient(this.#grantedSlots, this.#nodePools);
    this.#probes = new ServerProbes({
      localServers: options.localServers,
      intervalMs: options.probeIntervalMs,
      getNowMs: this.#context.getNowMs,
      metrics,
    });
    const retentionMs = options.idempotencyRetentionMs ?? DEFAULT_RETENTION_MS;
    this.#recordCompleteness = new RecordCompleteness({
      nodeId: options.nodeId,
      dataCentre: options.dataCentre,
      retentionMs,
      startedAtMs: options.startedAtMs ?? this.#context.getNowMs(),
    });
    this.#idempotencyOptions = {
      store: new IdempotencyStore({ retentionMs }),
      completeness: this.#recordCompleteness,
      getNowMs: this.#context.getNowMs,
    };
    this.#idempotencyGuard = new IdempotencyGuard({
      ...this.#idempotencyOptions,
      nodeId: options.nodeId,
      dataCentre: options.dataCentre,
      getRecords: () => options.directory.records(),
      tls: options.tls,
    });
    const crashDetector = new CrashDetector({
      isReachable: (address) => canConnect(address, SERVER_CONNECT_TIMEOUT_MS),
      onCrash: (lost) =>
        this.#crashLedger.recordCrash(
          lost.flatMap(({ fingerprints }) => fingerprints),
          options.localServers.record(),
          this.#context.getNowMs(),
        ),
    });
    const localCaller = new LocalCaller(
      this.#serverPools,
      this.#context,
      { detector: crashDetector, ledger: this.#crashLedger },
      this.#context.costs?.callRoutes,
    );
    this.#breaker = options.breaker ?? new FailureRateBreaker();
    const recorders = {
      observations: this.#observations,
      breaker: this.#breaker,
    };
    const bodies = new BodyReader(this.#crashLedger);
    const dispatcher = new RequestDispatcher(this.#context, {
      ...recorders,
      workspaceLimiter: options.workspaceLimiter,
      caller: new ServerCaller(this.#context, {
        localCaller,
        nodePools: this.#nodePools,
        serverPools: this.#serverPools,
        grantedSlots: this.#grantedSlots,
        peers: this.#peers,
        departures: this.#departures,
        holder: new ResponseHolder({ metrics: options.metrics }),
      }),
      selector:
        this.#createExpectedCostSelector() ??
        options.createSelector?.({
          ...recorders,
          dataCentre: options.dataCentre,
          nodeId: options.nodeId,
        }) ??
        new TwoChoicesSelector({
          ...recorders,
          dataCentre: options.dataCentre,
          isGranted: (key) => this.#grantedSlots.hasIdleSlot(key, performance.now()),
        }),
      budget:
        options.createBudget?.(() => options.directory.records().length) ?? new RatioRetryBudget(),
      peers: this.#peers,
      departures: this.#departures,
      versions: options.versions ?? new AnyVersionPolicy(),
      evidence: options.evidence,
    });
    const entryHandler = new EntryHandler(this.#context, {
      dispatcher,
      guard: this.#idempotencyGuard,
      crashLedger: this.#crashLedger,
      bodies,
      workspaceLimiter: options.workspaceLimiter,
    });
    const ownerHandler = new OwnerHandler(this.#context, {
      bodies,
      caller: localCaller,
      grantor: this.#grantor,
    });
    this.#entryListener = this.#createServer((...received) => entryHandler.handle(...received));
    this.#ownerListener = this.#createServer(
      (...received) => ownerHandler.handle(...received),
      options.tls?.(),
    );
    this.#ownerListener.prependListener('request', () => {
      this.#lastForwardedAtMs = performance.now();
    });
  }

  get isDraining(): boolean {
    return this.#drainWindow !== undefined;
  }

  /** Whether the processor cannot keep up with the requests, so callers should use other nodes. */
  get isOverloaded(): boolean {
    return this.#lateness.isOverloaded;
  }

  /** Number of requests in flight on both listeners. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /**
   * Registers the idempotency service for other nodes.
   *
   * @param router - connect-es router of the RPC listener
   */
  registerPeerServices(router: ConnectRouter): void {
    createIdempotencyRoutes(this.#idempotencyOptions)(router);
  }

  /**
   * Binds both listeners.
   *
   * @returns the bound addresses; rejects when an address is in use
   */
  async start(): Promise<RequestAddresses> {
    const forwardListen = await listenOn(this.#ownerListener, this.#options.forwardListen);
    const listen = await listenOn(this.#entryListener, this.#options.listen);
    // The node serves before the check has ended; each end counts as orderly until then.
    checkOrderlyEnd().catch((error: unknown) =>
      log.error({ reason: String(error) }, 'check of orderly ends failed'),
    );
    this.#maintenanceTimer = setInterval(() => this.#maintain(), MAINTENANCE_INTERVAL_MS);
    this.#maintenanceTimer.unref();
    if (this.#options.probeIntervalMs !== 0) this.#probes.start();
    return { listen, forwardListen };
  }

  /** Uses the current TLS material for new connections; open connections keep theirs. */
  reloadTls(): void {
    const material = this.#options.tls?.();
    if (!material || !(this.#ownerListener instanceof HttpsServer)) return;
    this.#ownerListener.setSecureContext(createTlsOptions(material));
    this.#nodePools.renew();
  }

  /** Applies the limits of a new version; open connections use them from their next request. */
  applyLimits(limits: CallerLimits | undefined): void {
    const idleTimeoutMs = limits?.idleTimeoutMs || KEEP_ALIVE_TIMEOUT_MS;
    this.#entryListener.keepAliveTimeout = idleTimeoutMs;
    this.#entryListener.headersTimeout =
      idleTimeoutMs + (limits?.headerTimeoutMs || HEADERS_TIMEOUT_MS);
  }

  /**
   * Drains the node: announces it, completes the requests in flight, then closes the listeners.
   *
   * In the second half of the time, requests are refused that may not end within it.
   *
   * @param timeoutMs - maximum time to wait for requests; those still in flight then are aborted
   */
  async drain(timeoutMs = Infinity): Promise<void> {
    const startMs = performance.now();
    const deadlineMs = startMs + timeoutMs;
    this.#drainWindow = new DrainWindow(startMs, timeoutMs);
    this.#grantor.stop();
    const { drainGraceMs = DEFAULT_DRAIN_GRACE_MS, drainAnnounceDelayMs = 0 } = this.#options;
    if (drainAnnounceDelayMs > 0) await delay(drainAnnounceDelayMs);
    this.#context.localServers.drain();
    await delay(drainGraceMs - drainAnnounceDelayMs);
    const closed = [stopListening(this.#entryListener)];
    const learntAtMs = startMs + drainAnnounceDelayMs + DEFAULT_DRAIN_GRACE_MS;
    await this.#awaitQuiet(Math.min(learntAtMs, deadlineMs));
    closed.push(stopListening(this.#ownerListener));
    await this.#finishRequests(deadlineMs);
    this.#entryListener.closeIdleConnections();
    this.#ownerListener.closeIdleConnections();
    await this.#grantClient.close(performance.now());
    const leftMs = deadlineMs - performance.now();
    await Promise.race([
      Promise.all(closed),
      delay(Math.min(FLUSH_TIMEOUT_MS, Math.max(0, leftMs))),
    ]);
    // A connection without any request so far does not count as idle, and may still send one.
    await this.#finishRequests(deadlineMs);
    this.#closeConnections();
    await Promise.all(closed);
  }

  /** Closes all connections; responses that end with their connection do not look complete. */
  #closeConnections(): void {
    const resetResponses = resetUnfinished((socket) => this.#callerSockets.has(socket));
    if (resetResponses > 0)
      log.warn({ resetResponses }, 'responses without a length were broken off by a reset');
    this.#entryListener.closeAllConnections();
    this.#ownerListener.closeAllConnections();
  }

  /**
   * Waits until other nodes send no more requests.
   *
   * @param untilMs - when all of them have learnt of the drain, on the clock of `performance.now()`
   */
  async #awaitQuiet(untilMs: number): Promise<void> {
    const isQuiet = (): boolean =>
      performance.now() >= Math.min(untilMs, this.#lastForwardedAtMs + FORWARD_QUIET_MS);
    do {
      while (!isQuiet()) await delay(DRAIN_POLL_MS);
      await pollConnections();
    } while (!isQuiet());
  }

  /** Waits for the requests in flight, and for those that have arrived and were not read yet. */
  async #finishRequests(deadlineMs: number): Promise<void> {
    const isLate = (): boolean => performance.now() >= deadlineMs;
    do {
      while (this.#inFlight > 0 && !isLate()) await delay(DRAIN_POLL_MS);
      await pollConnections();
    } while (this.#inFlight > 0 && !isLate());
  }

  /** Closes all listeners and connections immediately; requests in flight fail. */
  async stop(): Promise<void> {
    clearInterval(this.#maintenanceTimer);
    this.#idempotencyGuard.close();
    await this.#probes.stop();
    const closed = [closeServer(this.#entryListener), closeServer(this.#ownerListener)];
    this.#closeConnections();
    await Promise.all([...closed, this.#serverPools.destroy(), this.#nodePools.destroy()]);
  }

  #createExpectedCostSelector(): ServerSelector | undefined {
    const { routeCosts, dataCentre, nodeId } = this.#options;
    if (!routeCosts) return undefined;
    const observations = this.#observations;
    const breaker = this.#breaker;
    return new ExpectedCostSelector({ observations, breaker, dataCentre, nodeId, routeCosts });
  }

  #createServer(
    handle: (request: IncomingMessage, response: ServerResponse, waitedMs: number) => Promise<void>,
    tls?: TlsMaterial,
  ): Server {
    const options = { maxHeaderSize: MAX_HEADER_BYTES, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS };
    const listener = (request: IncomingMessage, response: ServerResponse) => {
      const pipeline = ResponsePipeline.of(request.socket);
      if (!pipeline.add(response, { isClosing: this.isDraining })) {
        this.#discard(request, pipeline);
        return;
      }
      this.#inFlight += 1;
      response.once('close', () => {
        this.#readRest(request, () => {
          this.#inFlight -= 1;
        });
      });
      const handleAfter = (waitedMs: number): void => {
        handle(request, response, waitedMs).catch((error: unknown) => {
          log.error(
            { reason: String(error) },
            'handling a request failed; its connection is closed',
          );
          abortResponse(response);
        });
      };
      pipeline.run((queuedMs) =>
        this.#pacer.add(request, (waitedMs) => handleAfter(queuedMs + waitedMs)),
      );
    };
    const server = tls
      ? createHttpsServer({ ...options, ...createTlsOptions(tls) })
      : createHttpServer(options);
    server.maxConnections = MAX_CONNECTIONS;
    if (tls) keepTransports(server);
    // Node.js calls it after the last response of a connection.
    server.on(tls ? 'secureConnection' : 'connection', (socket: Socket) => {
      this.#callerSockets.add(socket);
      ResponsePipeline.of(socket);
      this.#answerBounds.addConnection(socket, { isNode: server === this.#ownerListener });
      const resetOwn = (): number => resetUnfinished((other) => other === socket);
      // Node.js ends a connection in order whose caller has ended its side.
      socket.prependListener('end', resetOwn);
      Object.assign(socket, { destroySoon: () => closeInOrder(socket) });
    });
    server.on('request', listener);
    // Without this listener, Node.js sends 100 Continue before the request is routed.
    server.on('checkContinue', listener);
    return server;
  }

  /** Reads and drops what is left of a request that was answered before its body was complete. */
  #readRest(request: IncomingMessage, onDone: () => void): void {
    if (request.complete || request.socket.destroyed) {
      onDone();
      return;
    }
    const { socket } = request;
    const finish = (): void => {
      request.off('end', finish);
      socket.off('close', finish);
      onDone();
    };
    request.once('end', finish);
    socket.once('close', finish);
    request.unpipe();
    request.resume();
  }

  /** Reads and drops a request behind a response that closes its connection. */
  #discard(request: IncomingMessage, pipeline: ResponsePipeline): void {
    this.#context.metrics.counter('requests_discarded').value += 1;
    log.debug({ method: request.method }, 'request behind a closing response discarded');
    pipeline.discard(request);
  }

  /** Closes the connections to servers and nodes that are no longer known, and drops their state. */
  #removeUnknown(): void {
    const records = this.#context.directory.records();
    const localAddresses = this.#context.localServers.list().map(({ server }) => server.address);
    const directAddresses = records.flatMap((node) =>
      node.servers.map((server) => server.directAddress),
    );
    const serverAddresses = new Set([...localAddresses, ...directAddresses]);
    const nodeAddresses = new Set(records.map((node) => node.forwardAddress));
    const serverKeys = new Set(
      records.flatMap((node) => node.servers.map((server) => formatServerKey({ server, node }))),
    );
    this.#serverPools.retain((address) => serverAddresses.has(address));
    this.#nodePools.retain((address) => nodeAddresses.has(address));
    this.#breaker.retain((key) => serverKeys.has(key));
    const nodeIds = new Set(records.map(({ nodeId }) => nodeId));
    this.#peers.retain((nodeId) => nodeIds.has(nodeId));
  }

  #readInstant(): Instant {
    return { steadyMs: performance.now(), wallMs: Date.now() };
  }

  #updateLateness(): void {
    const nowMs = performance.now();
    if (!this.#lateness.recordRun(nowMs, this.#pacer.computeWaitMs(nowMs))) return;
    const { isOverloaded, meanMs } = this.#lateness;
    const facts = { isOverloaded, meanLatenessMs: Math.round(meanMs), inFlight: this.#inFlight };
    if (isOverloaded) log.warn(facts, 'the processor cannot keep up with the requests');
    else log.info(facts, 'the processor keeps up with the requests again');
  }

  /** Merges what other nodes publish about crashes, and publishes what this node observed. */
  #exchangeCrashes(nowMs: number): void {
    const { directory, localServers } = this.#context;
    this.#crashLedger.merge(directory.records(), nowMs);
    const report = this.#crashLedger.takeReport(localServers.record());
    if (report) localServers.publishCrashes(report);
  }

  #maintain(): void {
    const nowMs = this.#context.getNowMs();
    this.#exchangeCrashes(nowMs);
    this.#updateLateness();
    this.#answerBounds.review(performance.now());
    this.#pauses.recordRun(this.#readInstant());
    this.#context.localServers.expire(nowMs);
    this.#context.localServers.list().forEach(({ gate }) => gate.refuseLateWaiters(nowMs));
    const { directory, getNowMs } = this.#context;
    probePeers(this.#peers, directory, this.#nodePools, getNowMs).catch((error: unknown) =>
      log.error({ reason: String(error) }, 'probing unresponsive nodes failed'),
    );
    this.#grantor.expire(performance.now());
    this.#grantClient.maintain(performance.now());
    this.#maintenanceRounds += 1;
    if (this.#maintenanceRounds % CLEANUP_INTERVAL_ROUNDS === 0) {
      this.#observations.removeIdle(nowMs);
      this.#departures.expire(nowMs);
      this.#crashLedger.expire(nowMs);
      this.#removeUnknown();
    }
    this.#idempotencyOptions.store.expire(nowMs);
    if (this.#maintenanceRounds % OBSERVATION_INTERVAL_ROUNDS === 1) {
      this.#recordCompleteness.observe(this.#context.directory.records(), nowMs);
    }
  }
}
