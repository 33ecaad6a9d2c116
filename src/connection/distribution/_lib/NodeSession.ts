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

/** What a session reads from its control VM. */
export interface SessionSource {
  payloads: PayloadCache;
  endpoints: EndpointBroadcast;
  admission: SnapshotAdmission;
  /** Newest committed version. */
  readTarget: () => Configuration | undefined;
  /** Whether the control VM has heard from a leader within the lease. */
  isConfirmed: (nowMs: number) => boolean;
  /** The control VMs; empty when nodes know them from their settings. */
  listControls: () => ControlTarget[];
}

const REPAIRED_BY_SNAPSHOT = new Set([
  RefusalCode.BASE_MISMATCH,
  RefusalCode.HASH_MISMATCH,
  RefusalCode.UNDECODABLE,
]);

const log = createLogger('distribution');

/** State of the stream of one node on the control side; decides what is sent next. */
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

  /** What the fleet shows of the node. */
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

  /** Notes that the node was heard. */
  noteReceived(nowMs: number): void {
    this.#lastReceivedMs = nowMs;
  }

  /** Tells whether the node has been silent for that time. */
  isSilent(silenceMs: number, nowMs: number): boolean {
    return this.#lastReceivedMs + silenceMs <= nowMs;
  }

  /** Has a heartbeat sent. */
  requestHeartbeat(): void {
    this.#isHeartbeatDue = true;
    this.wakeup.set();
  }

  /** Has a message sent that concerns this node alone. */
  send(message: AttachResponse): void {
    this.#pending.push(message);
    this.wakeup.set();
  }

  /** Notes the version that the node has in force; a newer one may already be on its way. */
  noteInForce(held: HeldVersion): void {
    if (held.version >= this.#offeredVersion) this.#held = held;
    this.#source.admission.release(this.nodeId);
  }

  /** Notes a refusal; a refused delta is replaced by a snapshot once. */
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

  /** Decides what is sent now; empty when the node is up to date. */
  collect(nowMs: number): AttachResponse[] {
    if (this.#isClosed) return [];
    const configuration = this.#collectConfiguration(nowMs);
    if (this.#isClosed) return configuration;
    this.#isAdmitted = true;
    // Endpoints come first, so that a version never takes effect before its servers are known.
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

  // Messages of one stream arrive in order, so the next delta can build on the version just offered.
  #offer(target: Configuration, payload: Payload): AttachResponse {
    this.#offeredVersion = target.version;
    if (payload.kind === 'snapshot') this.#snapshotVersion = target.version;
    this.#held = { version: target.version, contentHash: target.contentHash };
    return create(AttachResponseSchema, { kind: { case: payload.kind, value: payload.bytes } });
  }

  // Ending the stream of an attached node would renumber its record at every other node.
  #postponeSnapshot(): AttachResponse[] {
    if (!this.#isAdmitted) return [this.#refuseSnapshot()];
    this.#source.admission.wait(this.nodeId, () => this.wakeup.set());
    return [];
  }

  #refuseSnapshot(): AttachResponse {
    const afterMs = this.#source.admission.chooseRetryAfterMs();
    log.info({ nodeId: this.nodeId, afterMs }, 'all snapshot slots are in use; node told to retry');
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
