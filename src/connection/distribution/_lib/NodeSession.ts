import { create } from '@bufbuild/protobuf';

import {
  AttachResponseSchema,
  HeartbeatSchema,
  RefusalCode,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import { createLogger } from '../../../process/log/index.js';
import SessionParts from './SessionParts.js';
import Wakeup from './Wakeup.js';

import type {
  AttachResponse,
  Hello,
  Refusal,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import type { Configuration } from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import type { ControlTarget } from '../NodeLink/types.js';
import type { NodeReport } from '../../../process/nodeStatus/NodeStatusTable/index.js';
import type { EndpointBroadcast } from './EndpointBroadcast.js';
import type { HeldVersion, Payload, PayloadCache } from './PayloadCache.js';
import type { SessionSources } from './SessionParts.js';
import type { SnapshotAdmission } from './SnapshotAdmission.js';

/** Dependencies of a session, shared by all sessions of a control VM. */
export interface SessionContext extends SessionSources {
  payloads: PayloadCache;
  endpoints: EndpointBroadcast;
  admission: SnapshotAdmission;
  /** Returns the newest committed version. */
  readCommitted: () => Configuration | undefined;
  /** Returns whether the control VM had contact with a leader within the lease. */
  isConfirmed: (nowMs: number) => boolean;
  /** Returns whether the clock of the lease can be relied on, so that renewals may be answered. */
  canRelyOnLease: (nowMs: number) => boolean;
  /** Returns the control VMs; empty when nodes know them from their settings. */
  listControls: () => ControlTarget[];
}

const SNAPSHOT_RETRY_CODES = new Set([
  RefusalCode.BASE_MISMATCH,
  RefusalCode.HASH_MISMATCH,
  RefusalCode.UNDECODABLE,
]);

const log = createLogger('distribution');

/** State of one attached node on the control VM; selects the messages to send to it. */
export class NodeSession {
  readonly nodeId: string;

  readonly wakeup = new Wakeup();

  readonly #context: SessionContext;

  readonly #pendingMessages: AttachResponse[] = [];

  #held: HeldVersion;

  #sentVersion = 0;

  #sentSnapshotVersion = 0;

  #endpointEpoch: string;

  #endpointRevision: number;

  #lastReceivedMs: number;

  readonly #parts: SessionParts;

  #isHeartbeatDue = true;

  /** Number of the last renewal; 0 if the node needs no answer. */
  #lastRenewal = 0;

  #sentControls = '';

  #isAdmitted = false;

  #isClosed = false;

  /** Status of the node in the table of node statuses. */
  readonly report: NodeReport;

  constructor(hello: Hello, report: NodeReport, context: SessionContext, nowMs: number) {
    this.report = report;
    this.nodeId = hello.nodeId;
    this.#context = context;
    this.#held = { version: hello.version, contentHash: hello.contentHash };
    this.#endpointEpoch = hello.endpointEpoch;
    this.#endpointRevision = hello.endpointRevision;
    this.#lastReceivedMs = nowMs;
    this.#parts = new SessionParts(hello.nodeId, context);
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Ends the stream. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#context.admission.release(this.nodeId);
    this.wakeup.set();
  }

  /** Records that a message from the node arrived. */
  markReceived(nowMs: number): void {
    this.#lastReceivedMs = nowMs;
  }

  /** Returns whether no message from the node arrived for `silenceMs`. */
  isSilent(silenceMs: number, nowMs: number): boolean {
    return this.#lastReceivedMs + silenceMs <= nowMs;
  }

  /** Records a renewal for the next heartbeat; the first one is answered at once. */
  handleRenewal(sequence: number): void {
    if (this.#lastRenewal === 0 && sequence > 0) this.requestHeartbeat();
    this.#lastRenewal = sequence;
  }

  /** Schedules a heartbeat. */
  requestHeartbeat(): void {
    this.#isHeartbeatDue = true;
    this.requestShares();
  }

  /** Schedules a check of the shares of quotas. */
  requestShares(): void {
    this.#parts.requestShares();
    this.wakeup.set();
  }

  /** Queues a message for this node. */
  enqueue(message: AttachResponse): void {
    this.#pendingMessages.push(message);
    this.wakeup.set();
  }

  /** Records the version in force on the node; a newer one may already have been sent. */
  handleInForce(held: HeldVersion): void {
    if (held.version >= this.#sentVersion) this.#held = held;
    this.#context.admission.release(this.nodeId);
  }

  /** Records a refusal; a refused delta is followed by a snapshot, once per version. */
  handleRefusal(refusal: Refusal): void {
    this.#held = { version: refusal.heldVersion, contentHash: refusal.heldHash };
    this.#context.admission.release(this.nodeId);
    const isRepairable =
      SNAPSHOT_RETRY_CODES.has(refusal.code) && this.#sentSnapshotVersion < refusal.version;
    if (isRepairable && this.#sentVersion === refusal.version) {
      this.#sentVersion = 0;
      this.#held = { version: 0, contentHash: new Uint8Array() };
    }
    this.wakeup.set();
  }

  /** Returns the messages to send now; empty when the node is up to date. */
  collect(nowMs: number): AttachResponse[] {
    if (this.#isClosed) return [];
    const configuration = this.#collectConfiguration(nowMs);
    if (this.#isClosed) return configuration;
    this.#isAdmitted = true;
    // Endpoints precede the configuration, so that a version takes effect only with known servers. All
    // precede the heartbeat, so that a node that is confirmed holds them.
    return [
      ...this.#pendingMessages.splice(0),
      ...this.#collectEndpoints(),
      ...configuration,
      ...this.#parts.collectRollouts(),
      ...this.#parts.collectShares(nowMs),
      ...this.#collectHeartbeat(nowMs),
    ];
  }

  #collectEndpoints(): AttachResponse[] {
    const { endpoints } = this.#context;
    if (this.#endpointEpoch === endpoints.epoch && this.#endpointRevision === endpoints.revision) {
      return [];
    }
    const batches = endpoints.encodeSince(this.#endpointEpoch, this.#endpointRevision);
    this.#endpointEpoch = endpoints.epoch;
    this.#endpointRevision = endpoints.revision;
    return batches.map((value) =>
      create(AttachResponseSchema, { kind: { case: 'endpoints', value } }),
    );
  }

  #collectConfiguration(nowMs: number): AttachResponse[] {
    const target = this.#context.readCommitted();
    if (target === undefined || !this.#isUpdateDue(target)) return [];
    const payload = this.#context.payloads.encodeUpdate(this.#held, target);
    if (payload.kind === 'snapshot' && !this.#context.admission.admit(this.nodeId, nowMs)) {
      return this.#postponeSnapshot();
    }
    return [this.#createUpdate(target, payload)];
  }

  #isUpdateDue(target: Configuration): boolean {
    if (target.version <= this.#sentVersion) return false;
    if (target.version !== this.#held.version) return target.version > this.#held.version;
    return Buffer.compare(target.contentHash, this.#held.contentHash) !== 0;
  }

  // A stream delivers in order, so the next delta can use the version sent here as its base.
  #createUpdate(target: Configuration, payload: Payload): AttachResponse {
    this.#sentVersion = target.version;
    if (payload.kind === 'snapshot') this.#sentSnapshotVersion = target.version;
    this.#held = { version: target.version, contentHash: target.contentHash };
    return create(AttachResponseSchema, { kind: { case: payload.kind, value: payload.bytes } });
  }

  // An attached node waits for a slot instead of reconnecting, because each attach renumbers its
  // record, which is then sent to every other node.
  #postponeSnapshot(): AttachResponse[] {
    if (!this.#isAdmitted) return [this.#refuseSnapshot()];
    this.#context.admission.waitForSlot(this.nodeId, () => this.wakeup.set());
    return [];
  }

  #refuseSnapshot(): AttachResponse {
    const afterMs = this.#context.admission.chooseRetryAfterMs();
    log.info(
      { nodeId: this.nodeId, afterMs },
      'all snapshot slots are in use; node must retry later',
    );
    this.#isClosed = true;
    return create(AttachResponseSchema, { kind: { case: 'retryAfter', value: { afterMs } } });
  }

  #collectControls(): ControlTarget[] {
    const controls = this.#context.listControls();
    const encoded = JSON.stringify(controls);
    if (encoded === this.#sentControls) return [];
    this.#sentControls = encoded;
    return controls;
  }

  #collectHeartbeat(nowMs: number): AttachResponse[] {
    if (!this.#isHeartbeatDue) return [];
    this.#isHeartbeatDue = false;
    const value = create(HeartbeatSchema, {
      version: this.#context.readCommitted()?.version ?? 0,
      isConfirmed: this.#context.isConfirmed(nowMs),
      answeredRenewal: this.#context.canRelyOnLease(nowMs) ? this.#lastRenewal : 0,
      controls: this.#collectControls(),
    });
    return [create(AttachResponseSchema, { kind: { case: 'heartbeat', value } })];
  }
}
