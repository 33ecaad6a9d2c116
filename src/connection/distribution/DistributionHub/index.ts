/** Configuration distribution on the control VM, with one session per attached node. */
import { randomUUID } from 'node:crypto';

import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';

import type { ConnectRouter, HandlerContext } from '@connectrpc/connect';
import {
  AttachRequestSchema,
  AttachResponseSchema,
  DistributionService,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import { compareStamps } from '../../../process/endpoints/_lib/compareStamps.js';
import { EndpointDirectory } from '../../../process/endpoints/EndpointDirectory/index.js';
import { TrafficReportTable } from '../../../process/trafficReports/TrafficReportTable/index.js';
import { NodeStatusTable } from '../../../process/nodeStatus/NodeStatusTable/index.js';
import { createLogger } from '../../../process/log/index.js';
import { requireCaller } from '../../checkAccess/index.js';
import ByteMeter from '../_lib/ByteMeter.js';
import { EndpointBroadcast } from '../_lib/EndpointBroadcast.js';
import { NodeSession } from '../_lib/NodeSession.js';
import PauseGuard from '../_lib/PauseGuard.js';
import { PayloadCache } from '../_lib/PayloadCache.js';
import { SnapshotAdmission } from '../_lib/SnapshotAdmission.js';
import * as timing from '../timing.js';

import type {
  AttachRequest,
  AttachResponse,
  Hello,
  InForce,
  ReadVersionResponse,
  RecordStamp,
  Refusal,
  TrafficReport,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import type { NodeRecord } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';
import type { NodeReport } from '../../../process/nodeStatus/NodeStatusTable/index.js';
import type { MetricsRegistry } from '../../../process/metrics/index.js';
import type { ControlLog } from '../../../process/replication/ControlLog/index.js';
import type { ControlTarget } from '../NodeLink/types.js';
import type { SessionContext } from '../_lib/NodeSession.js';
import type { SessionSources } from '../_lib/SessionParts.js';

/** Limits of a hub; the defaults are in `timing.ts`. */
export interface HubOptions extends SessionSources {
  metrics?: MetricsRegistry;
  /** Uniform in [0, 1). */
  random?: () => number;
  /** Current time in milliseconds since the epoch. */
  now?: () => number;
  /** Time of day in milliseconds since the epoch; `Date.now` by default. */
  readWallMs?: () => number;
  heartbeatIntervalMs?: number;
  silenceMs?: number;
  windowMs?: number;
  /** Lists the control VMs for nodes whose settings do not name all of them; none by default. */
  listControls?: () => ControlTarget[];
  snapshotSlots?: number;
  retryAfterMs?: number;
  /** Counts of all nodes, for parts that are created before the hub. */
  trafficReports?: TrafficReportTable;
}

const log = createLogger('distribution');

/** Serves the nodes attached to one control VM. */
export class DistributionHub {
  /** Records of all nodes that this control VM knows. */
  readonly directory: EndpointDirectory;

  /** Status of all nodes that this control VM knows. */
  readonly nodeStatuses: NodeStatusTable;

  /** Counts of all nodes that this control VM knows. */
  readonly trafficReports: TrafficReportTable;

  readonly #memberId: string;

  readonly #controlLog: ControlLog;

  readonly #options: HubOptions;

  readonly #now: () => number;

  readonly #silenceMs: number;

  readonly #sessions = new Map<string, NodeSession>();

  readonly #meter: ByteMeter;

  readonly #sessionContext: SessionContext & { endpoints: EndpointBroadcast };

  readonly #pauseGuard = new PauseGuard(timing.CONFIRMATION_LEASE_MS);

  #timers: NodeJS.Timeout[] = [];

  #unsubscribers: (() => void)[] = [];

  /**
   * @param memberId - name of this control VM
   * @param controlLog - source of committed versions
   */
  constructor(memberId: string, controlLog: ControlLog, options: HubOptions = {}) {
    this.#memberId = memberId;
    this.#controlLog = controlLog;
    this.#options = options;
    this.#now = options.now ?? Date.now;
    this.#silenceMs = options.silenceMs ?? timing.STREAM_SILENCE_MS;
    this.#meter = new ByteMeter(options.metrics, 'control');
    this.directory = new EndpointDirectory({ leaseMs: this.#silenceMs });
    this.trafficReports = options.trafficReports ?? new TrafficReportTable();
    this.nodeStatuses = new NodeStatusTable(memberId);
    this.#sessionContext = this.#createSessionContext();
  }

  /** Adds the service for nodes to the router of the process. */
  registerRoutes(router: ConnectRouter): void {
    const limits = { acceptCompression: [], readMaxBytes: timing.MAX_MESSAGE_BYTES };
    router.service(
      DistributionService,
      {
        attach: (requests, context) => this.#serve(requests, context),
        readVersion: () => this.#readVersion(),
      },
      limits,
    );
  }

  /** Starts sending heartbeats and expiring leases. */
  start(): void {
    const intervalMs = this.#options.heartbeatIntervalMs ?? timing.HEARTBEAT_INTERVAL_MS;
    this.#timers = [setInterval(() => this.#tick(this.#now()), intervalMs)];
    this.#unsubscribers = [this.#controlLog.onCommitted(() => this.wakeSessions())];
    if (this.#options.computeShares !== undefined) this.#startShares();
  }

  #startShares(): void {
    const requestShares = (): void => this.#sessions.forEach((session) => session.requestShares());
    this.#timers.push(setInterval(requestShares, timing.TRAFFIC_REPORT_INTERVAL_MS));
  }

  /** Ends all sessions. */
  stop(): void {
    this.#timers.forEach((timer) => clearInterval(timer));
    this.#unsubscribers.forEach((unsubscribe) => unsubscribe());
    this.#sessionContext.endpoints.stop();
    this.#sessions.forEach((session) => session.close());
  }

  /** Returns whether the node is attached to this control VM. */
  isAttached(nodeId: string): boolean {
    return this.#sessions.has(nodeId);
  }

  /** Sends what has changed, such as roll-outs, to all attached nodes. */
  wakeSessions(): void {
    this.#sessions.forEach((session) => session.wakeup.set());
  }

  /** Number of attached nodes. */
  get sessionCount(): number {
    return this.#sessions.size;
  }

  /** Byte counts by direction and message kind. */
  get meter(): ByteMeter {
    return this.#meter;
  }

  /** Number of configuration payloads encoded so far. */
  get encodingCount(): number {
    return this.#sessionContext.payloads.encodingCount;
  }

  /**
   * Notifies an attached node that another process holds a newer state of its record.
   *
   * @param stamp - stamp of the newer state
   * @returns false if the node is not attached here or its record is at least as new
   */
  notifySuperseded(stamp: RecordStamp): boolean {
    const session = this.#sessions.get(stamp.nodeId);
    const record = this.directory.find(stamp.nodeId);
    if (session === undefined) return false;
    if (record !== undefined && compareStamps(record, stamp) >= 0) return false;
    this.#sendSuperseded(session, stamp.incarnation);
    return true;
  }

  #createSessionContext(): SessionContext & { endpoints: EndpointBroadcast } {
    const options = this.#options;
    return {
      payloads: new PayloadCache(
        (version) => this.#controlLog.committedVersion(version)?.configuration,
      ),
      endpoints: new EndpointBroadcast(this.directory, {
        windowMs: options.windowMs ?? timing.ENDPOINT_WINDOW_MS,
        retainedBatches: timing.RETAINED_BATCHES,
        epoch: `${this.#memberId}:${randomUUID()}`,
        onBatch: () => this.wakeSessions(),
      }),
      admission: new SnapshotAdmission({
        slots: options.snapshotSlots ?? timing.SNAPSHOT_SLOTS,
        slotTimeoutMs: timing.SNAPSHOT_SLOT_TIMEOUT_MS,
        retryAfterMs: options.retryAfterMs ?? timing.RETRY_AFTER_MS,
        random: options.random ?? Math.random,
      }),
      readCommitted: () => this.#controlLog.committed()?.configuration,
      isConfirmed: (nowMs) => this.#controlLog.isConfirmed(nowMs),
      canRelyOnLease: (nowMs) => this.#canRelyOnLease(nowMs),
      listControls: options.listControls ?? (() => []),
      readRollouts: options.readRollouts,
      computeShares: options.computeShares,
    };
  }

  #canRelyOnLease(nowMs: number): boolean {
    const wallMs = (this.#options.readWallMs ?? Date.now)();
    return this.#pauseGuard.canRelyOnLease({ steadyMs: nowMs, wallMs });
  }

  #readVersion(): Omit<ReadVersionResponse, '$typeName'> {
    return {
      memberId: this.#memberId,
      version: this.#controlLog.committed()?.configuration.version ?? 0,
      isConfirmed: this.#controlLog.isConfirmed(this.#now()),
    };
  }

  #tick(nowMs: number): void {
    this.#canRelyOnLease(nowMs);
    this.#sessions.forEach((session) => {
      if (session.isSilent(this.#silenceMs, nowMs)) {
        log.warn({ nodeId: session.nodeId }, 'closing the stream of a silent node');
        this.#closeSession(session);
      } else {
        session.requestHeartbeat();
      }
    });
    this.directory.expire(nowMs).forEach((record) => {
      log.info({ nodeId: record.nodeId }, 'lease of node record expired');
    });
    this.nodeStatuses.extendRetention(this.#memberId, nowMs);
    this.nodeStatuses.expire(nowMs);
    this.#sessions.forEach(({ nodeId }) => this.trafficReports.renew(nodeId, nowMs));
    this.trafficReports.expire(nowMs);
  }

  async *#serve(
    requests: AsyncIterable<AttachRequest>,
    context: HandlerContext,
  ): AsyncGenerator<AttachResponse> {
    const iterator = requests[Symbol.asyncIterator]();
    const first = await iterator.next();
    const { session, record } = this.#openSession(
      first.done === true ? undefined : first.value,
      context,
    );
    // The write task may wait for the connection and end much later, or never.
    context.signal.addEventListener('abort', () => this.#closeSession(session));
    const reading = this.#read({ [Symbol.asyncIterator]: () => iterator }, session);
    try {
      yield* this.#write(session, record);
    } finally {
      this.#closeSession(session);
    }
    // The stream ends without waiting for the node; the read task has already logged its error.
    reading.catch(() => undefined);
  }

  async *#write(session: NodeSession, record: NodeRecord): AsyncGenerator<AttachResponse> {
    let isAdmitted = false;
    while (true) {
      const messages = session.collect(this.#now());
      // A node that must retry later is not announced to the others.
      if (!isAdmitted && !session.isClosed) {
        isAdmitted = true;
        this.#announceNode(session, record, this.#now());
      }
      messages.forEach((message) =>
        this.#meter.countSent(AttachResponseSchema, message, message.kind),
      );
      yield* messages;
      if (session.isClosed) return;
      if (messages.length === 0) await session.wakeup.wait();
    }
  }

  async #read(requests: AsyncIterable<AttachRequest>, session: NodeSession): Promise<void> {
    try {
      for await (const request of requests) {
        if (session.isClosed) return;
        this.#handleRequest(request, session, this.#now());
      }
    } catch (error) {
      log.debug({ nodeId: session.nodeId, cause: String(error) }, 'stream of node failed');
    }
    session.close();
  }

  #openSession(
    request: AttachRequest | undefined,
    context: HandlerContext,
  ): { session: NodeSession; record: NodeRecord } {
    const hello = request?.kind.case === 'hello' ? request.kind.value : undefined;
    const record = hello?.record;
    if (request === undefined || hello === undefined || record?.nodeId !== hello.nodeId) {
      const message = 'the first message must be Hello with the record of the node';
      throw new ConnectError(message, Code.InvalidArgument);
    }
    requireCaller(context.values, hello.nodeId);
    this.#meter.countReceived(AttachRequestSchema, request, request.kind);
    const nowMs = this.#now();
    const report = this.#createReport(hello, record, nowMs);
    const session = new NodeSession(hello, report, this.#sessionContext, nowMs);
    this.#sessions.get(hello.nodeId)?.close();
    this.#sessions.set(hello.nodeId, session);
    log.info({ nodeId: hello.nodeId, version: hello.version }, 'node attached');
    return { session, record };
  }

  #announceNode(session: NodeSession, record: NodeRecord, nowMs: number): void {
    this.#publishReport(session, {}, nowMs);
    this.#handleRecord(record, session, nowMs);
  }

  #createReport(hello: Hello, record: NodeRecord, nowMs: number): NodeReport {
    const former = this.nodeStatuses.find(hello.nodeId);
    const isSameVersion = former?.version === hello.version;
    return {
      nodeId: hello.nodeId,
      dataCentre: hello.dataCentre,
      version: hello.version,
      inForceAtMs: isSameVersion ? former.inForceAtMs : nowMs,
      isConnected: true,
      incarnation: record.incarnation,
      sequence: record.sequence,
    };
  }

  #publishReport(session: NodeSession, change: Partial<NodeReport>, nowMs: number): void {
    Object.assign(session, { report: { ...session.report, ...change } });
    this.nodeStatuses.merge(this.#memberId, session.report, nowMs);
  }

  #closeSession(session: NodeSession): void {
    session.close();
    if (this.#sessions.get(session.nodeId) !== session) return;
    this.#sessions.delete(session.nodeId);
    if (this.nodeStatuses.isOwn(session.nodeId)) {
      this.#publishReport(session, { isConnected: false }, this.#now());
    }
    log.info({ nodeId: session.nodeId }, 'node detached');
  }

  #handleRequest(request: AttachRequest, session: NodeSession, nowMs: number): void {
    this.#meter.countReceived(AttachRequestSchema, request, request.kind);
    session.markReceived(nowMs);
    this.directory.renew(session.nodeId, nowMs);
    const { kind } = request;
    switch (kind.case) {
      case 'record':
        this.#handleRecord(kind.value, session, nowMs);
        break;
      case 'inForce':
        this.#handleInForce(kind.value, session, nowMs);
        break;
      case 'refusal':
        this.#handleRefusal(kind.value, session, nowMs);
        break;
      case 'renewal':
        session.handleRenewal(kind.value.sequence);
        break;
      case 'newer':
        this.notifySuperseded(kind.value);
        break;
      case 'report':
        this.#handleReport(kind.value, session, nowMs);
        break;
      default:
    }
  }

  #handleReport(report: TrafficReport, { nodeId }: NodeSession, nowMs: number): void {
    if (report.nodeId !== nodeId) {
      log.warn({ nodeId, reportOf: report.nodeId }, 'traffic report of another node ignored');
      return;
    }
    this.trafficReports.merge(report, { memberId: this.#memberId }, nowMs);
  }

  #handleRecord(record: NodeRecord, session: NodeSession, nowMs: number): void {
    if (record.nodeId !== session.nodeId) {
      log.warn(
        { nodeId: session.nodeId, recordOf: record.nodeId },
        'record of another node ignored',
      );
      return;
    }
    const known =
      this.directory.find(record.nodeId) ?? this.directory.findRemovedStamp(record.nodeId);
    if (known !== undefined && compareStamps(known, record) > 0) {
      this.#sendSuperseded(session, known.incarnation);
      return;
    }
    const { incarnation, sequence } = record;
    this.directory.merge(record, nowMs);
    this.#publishReport(session, { incarnation, sequence }, nowMs);
  }

  #handleInForce(report: InForce, session: NodeSession, nowMs: number): void {
    const { version, contentHash } = report;
    session.handleInForce({ version, contentHash });
    const inForceAtMs = Number(report.inForceAtMs);
    const cleared = { refusedVersion: undefined, refusalReason: undefined };
    this.#publishReport(session, { version, inForceAtMs, ...cleared }, nowMs);
    log.debug({ nodeId: session.nodeId, version }, 'version in force on node');
  }

  #handleRefusal(refusal: Refusal, session: NodeSession, nowMs: number): void {
    const { version, reason } = refusal;
    session.handleRefusal(refusal);
    log.warn({ nodeId: session.nodeId, version, reason }, 'node refused a version');
    const change = { refusedVersion: version, refusalReason: reason };
    this.#publishReport(session, change, nowMs);
  }

  #sendSuperseded(session: NodeSession, recordedIncarnation: bigint): void {
    log.warn({ nodeId: session.nodeId }, 'a newer state of the node record is known');
    session.enqueue(
      create(AttachResponseSchema, {
        kind: { case: 'superseded', value: { recordedIncarnation } },
      }),
    );
  }
}
