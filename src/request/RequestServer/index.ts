import { createServer as createHttpServer } from 'node:http';
import { createServer as createHttpsServer, Server as HttpsServer } from 'node:https';

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ConnectRouter } from '@connectrpc/connect';
import { formatAddress, splitAddress } from '../../connection/splitAddress/index.js';
import { UpstreamPools } from '../../connection/UpstreamPools/index.js';
import { createLogger } from '../../process/log/index.js';
import askPeers from '../_lib/askPeers.js';
import endWithSocket from '../_lib/endWithSocket.js';
import { EntryHandler } from '../_lib/EntryHandler.js';
import LocalCaller from '../_lib/LocalCaller.js';
import OwnerHandler from '../_lib/OwnerHandler.js';
import { ServerProbes } from '../../process/localServers/index.js';
import LoanClient from '../_lib/LoanClient.js';
import ServerCaller from '../_lib/ServerCaller.js';
import { FailureRateBreaker } from '../breakCircuit/index.js';
import { RatioRetryBudget } from '../budgetRetries/index.js';
import { SlotBorrower } from '../borrowSlots/index.js';
import {
  HolderWarmth,
  IdempotencyGuard,
  IdempotencyStore,
  createIdempotencyRoutes,
} from '../idempotency/index.js';
import { SlotLender } from '../lendSlots/index.js';
import PeerTracker from '../trackPeers/index.js';
import LatenessMonitor from '../watchLateness/index.js';
import { OwnDialect } from '../httpDialect/index.js';
import { ServerObservations, formatServerKey } from '../observeServers/index.js';
import { TwoChoicesSelector } from '../selectServer/index.js';

import type { CallerLimits } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import type { TlsMaterial } from '../../connection/openTransport/index.js';
import type { RequestContext, RequestDirectory } from '../_lib/RequestContext.js';
import type { CircuitBreaker } from '../breakCircuit/index.js';
import type { RetryBudget } from '../budgetRetries/index.js';
import type { IdempotencyRoutesOptions } from '../idempotency/index.js';
import type { LeastDelaySelectorOptions, ServerSelector } from '../selectServer/index.js';

export type { RequestDirectory };

const log = createLogger('requests');

/** Covers resends after a timeout, and lets a restarted data centre take keyed requests soon. */
const DEFAULT_RETENTION_MS = 300_000;
const MAX_HEADER_BYTES = 32_768;
/** Bounds the memory of a listener; further connections are closed at once. */
const MAX_CONNECTIONS = 4_096;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
const HEADERS_TIMEOUT_MS = 10_000;
/** A node that does not accept a connection in this time is avoided; it spans one lost packet. */
const NODE_CONNECT_TIMEOUT_MS = 450;
/** The server is on the same VM. */
const SERVER_CONNECT_TIMEOUT_MS = 250;
const DRAIN_POLL_MS = 10;
/** The last responses have left the VM within this time. */
const LAST_BYTES_MS = 100;
/** Within this time the draining record reaches every node of the data centre. */
const DEFAULT_DRAIN_GRACE_MS = 2_000;
/** Borrowed slots are renewed in time if this is well below half of their lease. */
const MAINTENANCE_INTERVAL_MS = 100;
/** Rounds of maintenance between two searches for what is no longer known. */
const FORGET_EVERY = 50;
/** Rounds of maintenance between two looks at the nodes that share keys; far below the retention. */
const OBSERVE_EVERY = 10;

/** What a selector can rest its choice on. */
export type SelectorParts = Pick<
  LeastDelaySelectorOptions,
  'observations' | 'breaker' | 'dataCentre' | 'nodeId'
>;

type OptionalContext = 'random' | 'getNowMs' | 'dialect' | 'callerService' | 'isCurrent';
/** What the server finds out itself. */
type OwnContext = 'readLatenessMs';

export interface RequestServerOptions
  extends
    Omit<RequestContext, OptionalContext | OwnContext>,
    Partial<Pick<RequestContext, OptionalContext>> {
  /** `host:port` for callers. */
  listen: string;
  /** `host:port` for other nodes. */
  forwardListen: string;
  /** Set when `[tls]` is configured: the present material for mutual TLS on `forwardListen`. */
  tls?: () => TlsMaterial;
  /** Two choices unless given; the parts are what this node has observed. */
  createSelector?: (parts: SelectorParts) => ServerSelector;
  /** By failure rate unless given. */
  breaker?: CircuitBreaker;
  /** By share of requests unless given; receives the number of nodes known. */
  createBudget?: (countNodes: () => number) => RetryBudget;
  /**
   * Time for which a repeat with the same Idempotency-Key is recognized. For this time after its
   * start a node vouches for no key, so a longer retention delays the first keyed requests.
   */
  idempotencyRetentionMs?: number;
  /** When this node started, in milliseconds since the epoch; the present time unless given. */
  startedAtMs?: number;
  /** Pause between two probes of the servers beside this node; 0 for no probes. */
  probeIntervalMs?: number;
  /** Time during which a draining node still takes new requests. */
  drainGraceMs?: number;
  /**
   * Time after the begin of draining from which on other nodes are told not to choose the servers beside
   * this one; at once unless given. Its own callers may need longer to notice.
   */
  drainAnnounceDelayMs?: number;
}

const createTlsOptions = (material: TlsMaterial) => ({
  ...material,
  minVersion: 'TLSv1.3' as const,
  requestCert: true,
  rejectUnauthorized: true,
});

/** `host:port` on which the listeners are bound. */
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
      const bound = server.address() as AddressInfo;
      resolve(formatAddress({ host, port: bound.port }));
    });
  });

const closeServer = (server: Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
  });

const delay = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/**
 * The request path of a node: the listener for callers and the listener for other nodes.
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

  readonly #entry: Server;

  readonly #owner: Server;

  readonly #serverPools = new UpstreamPools({ connectTimeoutMs: SERVER_CONNECT_TIMEOUT_MS });

  readonly #nodePools: UpstreamPools;

  readonly #observations = new ServerObservations();

  readonly #warmth: HolderWarmth;

  readonly #keys: IdempotencyRoutesOptions;

  readonly #guard: IdempotencyGuard;

  readonly #probes: ServerProbes;

  readonly #borrower = new SlotBorrower();

  readonly #peers = new PeerTracker();

  readonly #lender: SlotLender;

  readonly #loans: LoanClient;

  readonly #breaker: CircuitBreaker;

  readonly #lateness = new LatenessMonitor(MAINTENANCE_INTERVAL_MS);

  #maintenanceCount = 0;

  #inFlight = 0;

  #isDraining = false;

  #maintenance: NodeJS.Timeout | undefined;

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
    };
    this.#nodePools = new UpstreamPools({
      tls: options.tls,
      connectTimeoutMs: NODE_CONNECT_TIMEOUT_MS,
    });
    this.#lender = new SlotLender(options.localServers.record().incarnation);
    this.#loans = new LoanClient(this.#borrower, this.#nodePools);
    this.#probes = new ServerProbes({
      localServers: options.localServers,
      intervalMs: options.probeIntervalMs,
      getNowMs: this.#context.getNowMs,
    });
    const retentionMs = options.idempotencyRetentionMs ?? DEFAULT_RETENTION_MS;
    this.#warmth = new HolderWarmth({
      nodeId: options.nodeId,
      dataCentre: options.dataCentre,
      retentionMs,
      startedAtMs: options.startedAtMs ?? this.#context.getNowMs(),
    });
    this.#keys = {
      store: new IdempotencyStore({ retentionMs }),
      warmth: this.#warmth,
      getNowMs: this.#context.getNowMs,
    };
    this.#guard = new IdempotencyGuard({
      ...this.#keys,
      nodeId: options.nodeId,
      dataCentre: options.dataCentre,
      getRecords: () => options.directory.records(),
      tls: options.tls,
    });
    const localCaller = new LocalCaller(
      this.#serverPools,
      this.#context.dialect,
      this.#context.getNowMs,
    );
    this.#breaker = options.breaker ?? new FailureRateBreaker();
    const learners = {
      observations: this.#observations,
      breaker: this.#breaker,
    };
    const entry = new EntryHandler(this.#context, {
      ...learners,
      caller: new ServerCaller(this.#context, {
        localCaller,
        nodePools: this.#nodePools,
        serverPools: this.#serverPools,
        borrower: this.#borrower,
        peers: this.#peers,
      }),
      selector:
        options.createSelector?.({
          ...learners,
          dataCentre: options.dataCentre,
          nodeId: options.nodeId,
        }) ??
        new TwoChoicesSelector({
          ...learners,
          dataCentre: options.dataCentre,
          isGranted: (key) => this.#borrower.hasIdleSlot(key, performance.now()),
        }),
      budget:
        options.createBudget?.(() => options.directory.records().length) ?? new RatioRetryBudget(),
      guard: this.#guard,
      peers: this.#peers,
    });
    const owner = new OwnerHandler(this.#context, localCaller, this.#lender);
    this.#entry = this.#createServer((request, response) => entry.handle(request, response));
    this.#owner = this.#createServer(
      (request, response) => owner.handle(request, response),
      options.tls?.(),
    );
  }

  get isDraining(): boolean {
    return this.#isDraining;
  }

  /** Whether the processor cannot keep up with the requests; callers are better off elsewhere. */
  get isOverloaded(): boolean {
    return this.#lateness.isOverloaded;
  }

  /** Requests that this node has not finished yet. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Adds the services of this part to the connect-es listener for other nodes. */
  registerPeerServices(router: ConnectRouter): void {
    createIdempotencyRoutes(this.#keys)(router);
  }

  /**
   * Binds both listeners.
   *
   * @returns the bound addresses; rejects when an address is in use
   */
  async start(): Promise<RequestAddresses> {
    const forwardListen = await listenOn(this.#owner, this.#options.forwardListen);
    const listen = await listenOn(this.#entry, this.#options.listen);
    this.#maintenance = setInterval(() => this.#maintain(), MAINTENANCE_INTERVAL_MS);
    this.#maintenance.unref();
    if (this.#options.probeIntervalMs !== 0) this.#probes.start();
    return { listen, forwardListen };
  }

  /** Uses the present TLS material for new connections; open ones keep theirs. */
  reloadTls(): void {
    const material = this.#options.tls?.();
    if (!material || !(this.#owner instanceof HttpsServer)) return;
    this.#owner.setSecureContext(createTlsOptions(material));
    this.#nodePools.renew();
  }

  /** Takes over the limits of a new version; connections follow from their next request on. */
  applyLimits(limits: CallerLimits | undefined): void {
    const idleTimeoutMs = limits?.idleTimeoutMs || KEEP_ALIVE_TIMEOUT_MS;
    this.#entry.keepAliveTimeout = idleTimeoutMs;
    this.#entry.headersTimeout = idleTimeoutMs + (limits?.headerTimeoutMs || HEADERS_TIMEOUT_MS);
  }

  /**
   * Stops taking new requests, finishes those in flight, then closes the listeners.
   *
   * @param withinMs - longest time; what is still in flight then is left
   */
  async drain(withinMs = Infinity): Promise<void> {
    const untilMs = performance.now() + withinMs;
    this.#isDraining = true;
    this.#lender.stop();
    const { drainGraceMs = DEFAULT_DRAIN_GRACE_MS, drainAnnounceDelayMs = 0 } = this.#options;
    if (drainAnnounceDelayMs > 0) await delay(drainAnnounceDelayMs);
    this.#context.localServers.drain();
    await delay(drainGraceMs - drainAnnounceDelayMs);
    const closed = [closeServer(this.#entry), closeServer(this.#owner)];
    await this.#finishRequests(untilMs);
    this.#entry.closeIdleConnections();
    this.#owner.closeIdleConnections();
    await this.#loans.close(performance.now());
    const leftMs = untilMs - performance.now();
    await Promise.race([Promise.all(closed), delay(Math.min(LAST_BYTES_MS, Math.max(0, leftMs)))]);
    // A connection on which nothing was ever asked does not count as idle, and may bring a request yet.
    await this.#finishRequests(untilMs);
    this.#entry.closeAllConnections();
    this.#owner.closeAllConnections();
    await Promise.all(closed);
  }

  async #finishRequests(untilMs: number): Promise<void> {
    while (this.#inFlight > 0 && performance.now() < untilMs) await delay(DRAIN_POLL_MS);
  }

  /** Closes everything at once; requests in flight fail. */
  async stop(): Promise<void> {
    clearInterval(this.#maintenance);
    this.#guard.close();
    await this.#probes.stop();
    const closed = [closeServer(this.#entry), closeServer(this.#owner)];
    this.#entry.closeAllConnections();
    this.#owner.closeAllConnections();
    await Promise.all([...closed, this.#serverPools.destroy(), this.#nodePools.destroy()]);
  }

  #createServer(
    handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>,
    tls?: TlsMaterial,
  ): Server {
    const options = { maxHeaderSize: MAX_HEADER_BYTES, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS };
    const listener = (request: IncomingMessage, response: ServerResponse) => {
      this.#inFlight += 1;
      endWithSocket(request.socket, response);
      response.once('close', () => {
        this.#inFlight -= 1;
      });
      if (this.#isDraining) response.shouldKeepAlive = false;
      handle(request, response).catch(() => response.destroy());
    };
    const server = tls
      ? createHttpsServer({ ...options, ...createTlsOptions(tls) })
      : createHttpServer(options);
    server.maxConnections = MAX_CONNECTIONS;
    server.on('request', listener);
    // Without this listener node sends 100 Continue before a server is known.
    server.on('checkContinue', listener);
    return server;
  }

  /** Closes connections to, and drops observations of, servers and nodes that left. */
  #forgetUnknown(): void {
    const records = this.#context.directory.records();
    const local = this.#context.localServers.list().map(({ server }) => server.address);
    const direct = records.flatMap((node) => node.servers.map((server) => server.directAddress));
    const serverAddresses = new Set([...local, ...direct]);
    const nodeAddresses = new Set(records.map((node) => node.forwardAddress));
    const keys = new Set(
      records.flatMap((node) => node.servers.map((server) => formatServerKey({ server, node }))),
    );
    this.#serverPools.retain((address) => serverAddresses.has(address));
    this.#nodePools.retain((address) => nodeAddresses.has(address));
    this.#breaker.retain((key) => keys.has(key));
    const nodeIds = new Set(records.map(({ nodeId }) => nodeId));
    this.#peers.retain((nodeId) => nodeIds.has(nodeId));
  }

  #watchLateness(): void {
    if (!this.#lateness.recordRun(performance.now())) return;
    const { isOverloaded, meanMs } = this.#lateness;
    const facts = { isOverloaded, meanLatenessMs: Math.round(meanMs), inFlight: this.#inFlight };
    if (isOverloaded) log.warn(facts, 'the processor does not keep up with the requests');
    else log.info(facts, 'the processor keeps up again');
  }

  #maintain(): void {
    const nowMs = this.#context.getNowMs();
    this.#watchLateness();
    this.#context.localServers.expire(nowMs);
    this.#context.localServers.list().forEach(({ gate }) => gate.refuseLateWaiters(nowMs));
    const { directory, getNowMs } = this.#context;
    askPeers(this.#peers, directory, this.#nodePools, getNowMs).catch((error: unknown) =>
      log.error({ reason: String(error) }, 'silent nodes could not be asked'),
    );
    this.#lender.expire(performance.now());
    this.#loans.maintain(performance.now());
    this.#maintenanceCount += 1;
    if (this.#maintenanceCount % FORGET_EVERY === 0) {
      this.#observations.removeIdle(nowMs);
      this.#forgetUnknown();
    }
    this.#keys.store.expire(nowMs);
    if (this.#maintenanceCount % OBSERVE_EVERY === 1) {
      this.#warmth.observe(this.#context.directory.records(), nowMs);
    }
  }
}
