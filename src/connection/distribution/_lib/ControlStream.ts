import { create, fromBinary } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import { err, ok } from 'neverthrow';

import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Result } from 'neverthrow';
import {
  AttachRequestSchema,
  AttachResponseSchema,
  DistributionService,
  EndpointDeltaSchema,
  RefusalCode,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import { InstallErrorCode } from '../../../process/holder/InstallError/index.js';
import PolledTimeout from '../../../process/PolledTimeout/index.js';
import { createLogger } from '../../../process/log/index.js';
import { compareStamps } from '../../../process/endpoints/_lib/compareStamps.js';
import { ProcessRole } from '../../../process/tls/readIdentity/index.js';
import { openTransport } from '../../openTransport/index.js';
import { LinkError, LinkErrorCode } from '../LinkError/index.js';
import { installDelta, installSnapshot } from './installEncoded.js';
import MessageQueue from './MessageQueue.js';
import TrafficReporter from './TrafficReporter.js';

import type {
  AttachRequest,
  AttachResponse,
  EndpointDelta,
  Heartbeat,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import type { NodeRecord } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';
import type { InstallError } from '../../../process/holder/InstallError/index.js';
import type { CompiledConfiguration } from '../../../version/compileConfiguration/types.js';
import type { TlsMaterial } from '../../openTransport/index.js';
import type { ControlTarget, LinkTiming, NodeLinkParts } from '../NodeLink/types.js';
import type ByteMeter from './ByteMeter.js';
import type ConfirmationProof from './ConfirmationProof.js';
import type { OwnRecord } from './OwnRecord.js';
import type { ReportNumbers } from './TrafficReporter.js';

/** State and dependencies that a stream shares with the link that opened it. */
export interface StreamContext {
  parts: NodeLinkParts;
  ownRecord: OwnRecord;
  meter: ByteMeter;
  timing: LinkTiming;
  /** Factor on the time within which the control VM must send its first message. */
  patience: number;
  now: () => number;
  /** Set if heartbeats must prove how recent a confirmation is. */
  proof: ConfirmationProof | undefined;
  /** Time of day in milliseconds since the epoch. */
  readWallMs: () => number;
  tls: TlsMaterial | undefined;
  /** Position in the endpoint batches, from which a reconnect resumes. */
  cursor: EndpointCursor;
  reportNumbers: ReportNumbers;
  /** Called when a heartbeat lists the control VMs. */
  setListedControls: (controls: ControlTarget[]) => void;
}

/** Position of a node in the endpoint batches of one control process. */
export interface EndpointCursor {
  epoch: string;
  revision: number;
  /** Ids of the nodes whose records that process lists; its heartbeats renew their leases. */
  listedNodeIds: Set<string>;
}

/** Result of a stream that ended without an error. */
export interface StreamEnd {
  /** Set when the control VM had no free snapshot slot. */
  retryAfterMs?: number;
}

const REFUSAL_CODES: Record<InstallErrorCode, RefusalCode> = {
  [InstallErrorCode.Older]: RefusalCode.OLDER,
  [InstallErrorCode.Conflict]: RefusalCode.CONFLICT,
  [InstallErrorCode.BaseMismatch]: RefusalCode.BASE_MISMATCH,
  [InstallErrorCode.HashMismatch]: RefusalCode.HASH_MISMATCH,
  [InstallErrorCode.Invalid]: RefusalCode.INVALID,
  [InstallErrorCode.Undecodable]: RefusalCode.UNDECODABLE,
};

const log = createLogger('link');

/** A version that a control VM confirmed as the newest. */
export interface Confirmation {
  version: number;
  /** Time of the confirmation in milliseconds since the epoch. */
  atMs: number;
}

/** One attach stream from a node to a control VM, from connect to end. */
export class ControlStream {
  readonly target: ControlTarget;

  readonly #context: StreamContext;

  readonly #queue = new MessageQueue<AttachRequest>();

  readonly #abort = new AbortController();

  #lastHeartbeat: Heartbeat | undefined;

  #confirmedAtMs: number;

  #hasEndpoints = false;

  #isSilent = false;

  #isAttached = false;

  #retryAfterMs: number | undefined;

  #sentRecord: NodeRecord | undefined;

  #recordTimer: NodeJS.Timeout | undefined;

  #reportedVersion = 0;

  #reportTimer: NodeJS.Timeout | undefined;

  constructor(target: ControlTarget, context: StreamContext) {
    this.target = target;
    this.#context = context;
    this.#confirmedAtMs = context.now();
  }

  /** Whether the control VM has sent a message on this stream. */
  get isAttached(): boolean {
    return this.#isAttached;
  }

  /** Version in the last heartbeat if it was confirmed and the endpoints have been received. */
  get confirmedVersion(): number | undefined {
    const heartbeat = this.#lastHeartbeat;
    return this.#hasEndpoints && heartbeat?.isConfirmed === true ? heartbeat.version : undefined;
  }

  /** Version in the last heartbeat, confirmed or not; 0 before the first one. */
  get announcedVersion(): number {
    return this.#lastHeartbeat?.version ?? 0;
  }

  /** Time of the last confirmed heartbeat; time of opening the stream before the first one. */
  get confirmedAtMs(): number {
    return this.#confirmedAtMs;
  }

  /** The last confirmation of this stream; undefined before the first one. */
  get confirmation(): Confirmation | undefined {
    const version = this.confirmedVersion;
    return version === undefined ? undefined : { version, atMs: this.#confirmedAtMs };
  }

  /** Ends the stream. */
  close(): void {
    this.#queue.close();
    this.#abort.abort();
  }

  /**
   * Opens the stream and handles its messages until it ends.
   *
   * @returns the retry delay requested by the control VM, if any, or why the stream failed
   */
  async run(): Promise<Result<StreamEnd, LinkError>> {
    const { timing, patience, tls } = this.#context;
    let watchdog = new PolledTimeout(
      () => this.#handleTimeout(),
      timing.attachTimeoutMs * patience,
    );
    const { transport, close } = openTransport(this.target.address, {
      ...(tls && { tls, peerRole: ProcessRole.Control }),
      // A snapshot may take longer than the limit on a slow link; its parts show progress.
      onBytesRead: () => watchdog.refresh(),
    });
    const client = createClient(DistributionService, transport);
    const renewals = setInterval(() => this.#sendRenewal(), timing.heartbeatIntervalMs);
    this.#sendHello();
    this.#context.proof?.startStream();
    if (this.#context.proof) this.#sendRenewal();
    try {
      const options = { signal: this.#abort.signal };
      for await (const message of client.attach(this.#queue.iterate(), options)) {
        watchdog.cancel();
        watchdog = new PolledTimeout(() => this.#handleTimeout(), timing.silenceMs);
        this.#handleMessage(message, this.#context.now());
      }
      return ok(this.#retryAfterMs === undefined ? {} : { retryAfterMs: this.#retryAfterMs });
    } catch (cause) {
      return err(this.#toLinkError(cause));
    } finally {
      watchdog.cancel();
      clearInterval(renewals);
      clearTimeout(this.#recordTimer);
      clearInterval(this.#reportTimer);
      this.close();
      close();
    }
  }

  /**
   * Sends the node record immediately, or at the end of the current window if one was already sent
   * in it. A flapping server therefore costs one message per window.
   */
  sendRecord(): void {
    if (!this.#isAttached || this.#recordTimer !== undefined) return;
    this.#sendNewestRecord();
    this.#recordTimer = setTimeout(() => {
      this.#recordTimer = undefined;
      if (this.#sentRecord !== this.#context.ownRecord.current) this.sendRecord();
    }, this.#context.timing.windowMs);
  }

  /** Reports the version in force, once per version and stream. */
  reportInForce(nowMs: number): void {
    const compiled = this.#context.parts.holder.current();
    if (compiled === undefined || compiled.version === this.#reportedVersion) return;
    this.#reportedVersion = compiled.version;
    const { version, contentHash } = compiled.configuration;
    this.#send({ case: 'inForce', value: { version, contentHash, inForceAtMs: BigInt(nowMs) } });
  }

  #sendHello(): void {
    const { parts, ownRecord, cursor } = this.#context;
    const held = parts.holder.current()?.configuration;
    const record = ownRecord.prepareForAttach();
    parts.directory.merge(record, this.#context.now());
    this.#sentRecord = record;
    this.#reportedVersion = held?.version ?? 0;
    this.#send({
      case: 'hello',
      value: {
        nodeId: parts.nodeId,
        dataCentre: parts.dataCentre,
        version: held?.version ?? 0,
        contentHash: held?.contentHash ?? new Uint8Array(),
        record,
        endpointEpoch: cursor.epoch,
        endpointRevision: cursor.revision,
      },
    });
  }

  #sendRenewal(): void {
    const { proof, now, readWallMs } = this.#context;
    const sequence = proof?.recordSent({ steadyMs: now(), wallMs: readWallMs() }) ?? 0;
    this.#send({ case: 'renewal', value: { sequence } });
  }

  #sendNewestRecord(): void {
    const record = this.#context.ownRecord.current;
    this.#sentRecord = record;
    // The next control VM must receive a newer state: it does not announce one that it already knows.
    this.#context.ownRecord.markAnnounced();
    this.#send({ case: 'record', value: record });
  }

  #send(kind: MessageInitShape<typeof AttachRequestSchema>['kind']): void {
    const message = create(AttachRequestSchema, { kind });
    this.#context.meter.countSent(AttachRequestSchema, message, message.kind);
    this.#queue.push(message);
  }

  #handleTimeout(): void {
    this.#isSilent = true;
    this.close();
  }

  #toLinkError(cause: unknown): LinkError {
    if (!this.#isSilent) return LinkError.from(cause);
    return new LinkError(LinkErrorCode.Silent, 'the control VM sent no message within the limit');
  }

  #handleMessage(message: AttachResponse, nowMs: number): void {
    this.#context.meter.countReceived(AttachResponseSchema, message, message.kind);
    this.#markAttached(nowMs);
    const { kind } = message;
    const { holder } = this.#context.parts;
    switch (kind.case) {
      case 'snapshot':
        this.#installAndReport(() => installSnapshot(holder, kind.value, nowMs), nowMs);
        break;
      case 'delta':
        this.#installAndReport(() => installDelta(holder, kind.value, nowMs), nowMs);
        break;
      case 'endpoints':
        this.#handleEndpoints(fromBinary(EndpointDeltaSchema, kind.value), nowMs);
        break;
      case 'heartbeat':
        this.#handleHeartbeat(kind.value, nowMs);
        break;
      case 'retryAfter':
        this.#retryAfterMs = kind.value.afterMs;
        break;
      case 'superseded':
        this.#supersede(kind.value.recordedIncarnation, nowMs);
        break;
      case 'rollouts':
        this.#context.parts.rolloutHolder?.adopt(kind.value);
        break;
      case 'quotaShares':
        this.#context.parts.quotaHolder?.adopt(kind.value, nowMs);
        break;
      case 'quotaRenewal':
        this.#context.parts.quotaHolder?.renew(nowMs);
        break;
      default:
    }
  }

  // No lease could be renewed while the node was detached, so all leases restart on attach.
  #markAttached(nowMs: number): void {
    if (this.#isAttached) return;
    this.#isAttached = true;
    const { address, dataCentre } = this.target;
    log.info({ address, dataCentre }, 'attached to control VM');
    this.#context.ownRecord.markAnnounced();
    this.#context.parts.directory.renewAll(nowMs);
    if (this.#sentRecord !== this.#context.ownRecord.current) this.sendRecord();
    this.reportInForce(nowMs);
    this.#startReports();
  }

  #startReports(): void {
    const { parts, ownRecord, reportNumbers: numbers, now, timing } = this.#context;
    if (parts.trafficSource === undefined && parts.rolloutHolder === undefined) return;
    const reporter = new TrafficReporter({ parts, ownRecord, numbers });
    this.#reportTimer = setInterval(() => {
      const report = reporter.collect(now());
      if (report !== undefined) this.#send({ case: 'report', value: report });
    }, timing.reportIntervalMs);
  }

  #handleHeartbeat(heartbeat: Heartbeat, nowMs: number): void {
    this.#lastHeartbeat = heartbeat;
    if (heartbeat.isConfirmed) this.#confirmedAtMs = nowMs;
    const heldVersion = this.#context.parts.holder.current()?.version ?? 0;
    this.#context.proof?.recordAnswer(heartbeat, heldVersion);
    // Any endpoint delta arrives before the first heartbeat.
    this.#hasEndpoints = true;
    if (heartbeat.controls.length > 0) {
      const controls = heartbeat.controls.map(({ address, dataCentre }) => ({
        address,
        dataCentre,
      }));
      this.#context.setListedControls(controls);
    }
    const { directory, nodeId } = this.#context.parts;
    this.#context.cursor.listedNodeIds.forEach((listedId) => directory.renew(listedId, nowMs));
    directory.renew(nodeId, nowMs);
    directory.expire(nowMs).forEach((record) => {
      log.info({ nodeId: record.nodeId }, 'removed a record that the control VM does not list');
    });
  }

  #installAndReport(
    install: () => Result<CompiledConfiguration, InstallError>,
    nowMs: number,
  ): void {
    // The control VM waits for a report, also of an update without effect. Any other update is
    // reported first by the listener of the holder, so that the report here is skipped.
    this.#reportedVersion = 0;
    install().match(
      () => this.reportInForce(nowMs),
      (error) => this.#sendRefusal(error),
    );
  }

  #sendRefusal(error: InstallError): void {
    const held = this.#context.parts.holder.current()?.configuration;
    log.warn({ version: error.version, code: error.code }, error.message);
    this.#send({
      case: 'refusal',
      value: {
        version: error.version,
        code: REFUSAL_CODES[error.code],
        reason: error.message,
        heldVersion: held?.version ?? 0,
        heldHash: held?.contentHash ?? new Uint8Array(),
      },
    });
  }

  #supersede(recordedIncarnation: bigint, nowMs: number): void {
    const record = this.#context.ownRecord.supersede(recordedIncarnation);
    log.info({ incarnation: String(record.incarnation) }, 'node record superseded');
    this.#context.parts.directory.merge(record, nowMs);
    this.#sendNewestRecord();
  }

  #handleEndpoints(delta: EndpointDelta, nowMs: number): void {
    const { cursor } = this.#context;
    cursor.epoch = delta.epoch;
    cursor.revision = delta.revision;
    if (delta.isFull) cursor.listedNodeIds.clear();
    delta.upserted.forEach((record) => this.#handleRecord(record, nowMs));
    delta.removed.forEach((stamp) => {
      cursor.listedNodeIds.delete(stamp.nodeId);
      this.#context.parts.directory.remove(stamp.nodeId, stamp, nowMs);
    });
  }

  #handleRecord(record: NodeRecord, nowMs: number): void {
    const { directory, nodeId } = this.#context.parts;
    if (record.nodeId === nodeId) {
      if (compareStamps(record, this.#context.ownRecord.current) > 0) {
        this.#supersede(record.incarnation, nowMs);
      }
      return;
    }
    this.#context.cursor.listedNodeIds.add(record.nodeId);
    if (directory.merge(record, nowMs)) return;
    const held = directory.find(record.nodeId) ?? directory.findRemovedStamp(record.nodeId);
    if (held === undefined || held.incarnation <= record.incarnation) return;
    const { incarnation, sequence } = held;
    this.#send({ case: 'newer', value: { nodeId: record.nodeId, incarnation, sequence } });
  }
}
