import { create } from '@bufbuild/protobuf';

import {
  AttachResponseSchema,
  HeartbeatSchema,
  RefusalCode,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import { createLogger } from '../../../process/log/index.js';
import Wakeup from './Wakeup.js';

import type {
  AttachResponse,
  Hello,
  Refusal,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import type { Configuration } from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import type { ControlTarget } from '../NodeLink/types.js';
import type { NodeReport } from '../../../process/fleet/FleetTable/index.js';
import type { EndpointBroadcast } from './EndpointBroadcast.js';
import type { HeldVersion, Payload, PayloadCache } from './PayloadCache.js';
import type { SnapshotAdmission } from './SnapshotAdmission.js';

/** Dependencies of a session, shared by all sessions of a control VM. */
export interface SessionSource {
  payloads: PayloadCache;
  endpoints: EndpointBroadcast;
  admission: SnapshotAdmission;
  /** Returns the newest committed version. */
  readTarget: () => Configuration | undefined;
  /** Returns whether the control VM had contact with a leader within the lease. */
  isConfirmed: (nowMs: number) => boolean;
  /** Returns the control VMs; empty when nodes know them from their settings. */
  listControls: () => ControlTarget[];
}

const REPAIRED_BY_SNAPSHOT = new Set([
  RefusalCode.BASE_MISMATCH,
  RefusalCode.HASH_MISMATCH,
  RefusalCode.UNDECODABLE,
]);

const log = createLogger('distribution');

/** State of one attached node on the control VM; selects the messages to send to it. */
export class NodeSession {
  readonly nodeId: string;

  readonly wakeup = new Wakeup();

  readonly #source: SessionSource;

  readonly #pending: AttachResponse[] = [];

  #held: HeldVersion;

  #offeredVersion = 0;

  #snapshotVersion = 0;

  #endpointEpoch: string;

  #endpointRevision: number;

  #lastReceivedMs: number;

  #isHeartbeatDue = true;

  #sentControls = '';

  #isAdmitted = false;

  #isClosed = false;

  /** Status of the node in the fleet table. */
  readonly report: NodeReport;

  constructor(hello: Hello, report: NodeReport, source: SessionSource, nowMs: number) {
    this.report = report;
    this.nodeId = hello.nodeId;
    this.#source = source;
    this.#held = { version: hello.version, contentHash: hello.contentHash };
    this.#endpointEpoch = hello.endpointEpoch;
    this.#endpointRevision = hello.endpointRevision;
    this.#lastReceivedMs = nowMs;
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Ends the stream. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#source.admission.release(this.nodeId);
    this.wakeup.set();
  }

  /** Records that a message from the node arrived. */
  noteReceived(nowMs: number): void {
    this.#lastReceivedMs = nowMs;
  }

  /** Returns whether no message from the node arrived for `silenceMs`. */
  isSilent(silenceMs: number, nowMs: number): boolean {
    return this.#lastReceivedMs + silenceMs <= nowMs;
  }

  /** Schedules a heartbeat. */
  requestHeartbeat(): void {
    this.#isHeartbeatDue = true;
    this.wakeup.set();
  }

  /** Queues a message for this node. */
  send(message: AttachResponse): void {
    this.#pending.push(message);
    this.wakeup.set();
  }

  /** Records the version in force on the node; a newer one may already have been sent. */
  noteInForce(held: HeldVersion): void {
    if (held.version >= this.#offeredVersion) this.#held = held;
    this.#source.admission.release(this.nodeId);
  }

  /** Records a refusal; a refused delta is followed by a snapshot, once per version. */
  noteRefusal(refusal: Refusal): void {
    this.#held = { version: refusal.heldVersion, contentHash: refusal.heldHash };
    this.#source.admission.release(this.nodeId);
    const isRepairable =
      REPAIRED_BY_SNAPSHOT.has(refusal.code) && this.#snapshotVersion < refusal.version;
    if (isRepairable && this.#offeredVersion === refusal.version) {
      this.#offeredVersion = 0;
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
    // Endpoints precede the configuration, so that a version takes effect only with known servers.
    return [
      ...this.#pending.splice(0),
      ...this.#collectEndpoints(),
      ...configuration,
      ...this.#collectHeartbeat(nowMs),
    ];
  }

  #collectEndpoints(): AttachResponse[] {
    const { endpoints } = this.#source;
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
    const target = this.#source.readTarget();
    if (target === undefined || !this.#isOffered(target)) return [];
    const payload = this.#source.payloads.encodeUpdate(this.#held, target);
    if (payload.kind === 'snapshot' && !this.#source.admission.admit(this.nodeId, nowMs)) {
      return this.#postponeSnapshot();
    }
    return [this.#offer(target, payload)];
  }

  #isOffered(target: Configuration): boolean {
    if (target.version <= this.#offeredVersion) return false;
    if (target.version !== this.#held.version) return target.version > this.#held.version;
    return Buffer.compare(target.contentHash, this.#held.contentHash) !== 0;
  }

  // A stream delivers in order, so the next delta can use the version sent here as its base.
  #offer(target: Configuration, payload: Payload): AttachResponse {
    this.#offeredVersion = target.version;
    if (payload.kind === 'snapshot') this.#snapshotVersion = target.version;
    this.#held = { version: target.version, contentHash: target.contentHash };
    return create(AttachResponseSchema, { kind: { case: payload.kind, value: payload.bytes } });
  }

  // An attached node waits for a slot instead of reconnecting, because each attach renumbers its
  // record, which is then sent to every other node.
  #postponeSnapshot(): AttachResponse[] {
    if (!this.#isAdmitted) return [this.#refuseSnapshot()];
    this.#source.admission.wait(this.nodeId, () => this.wakeup.set());
    return [];
  }

  #refuseSnapshot(): AttachResponse {
    const afterMs = this.#source.admission.chooseRetryAfterMs();
    log.info(
      { nodeId: this.nodeId, afterMs },
      'all snapshot slots are in use; node must retry later',
    );
    this.#isClosed = true;
    return create(AttachResponseSchema, { kind: { case: 'retryAfter', value: { afterMs } } });
  }

  #collectControls(): ControlTarget[] {
    const controls = this.#source.listControls();
    const encoded = JSON.stringify(controls);
    if (encoded === this.#sentControls) return [];
    this.#sentControls = encoded;
    return controls;
  }

  #collectHeartbeat(nowMs: number): AttachResponse[] {
    if (!this.#isHeartbeatDue) return [];
    this.#isHeartbeatDue = false;
    const value = create(HeartbeatSchema, {
      version: this.#source.readTarget()?.version ?? 0,
      isConfirmed: this.#source.isConfirmed(nowMs),
      controls: this.#collectControls(),
    });
    return [create(AttachResponseSchema, { kind: { case: 'heartbeat', value } })];
  }
}
