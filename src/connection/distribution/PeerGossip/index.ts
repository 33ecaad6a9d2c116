/** Gossip of versions and records among the nodes of a data centre that have no control VM. */
import { create } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import { ResultAsync } from 'neverthrow';

import type { ConnectRouter, HandlerContext } from '@connectrpc/connect';
import type { MessageInitShape } from '@bufbuild/protobuf';
import {
  GossipRequestSchema,
  GossipResponseSchema,
  PeerService,
  RecordStampSchema,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import { compareStamps } from '../../../process/endpoints/_lib/compareStamps.js';
import { createLogger } from '../../../process/log/index.js';
import { requireCaller } from '../../checkAccess/index.js';
import { ProcessRole } from '../../../process/tls/readIdentity/index.js';
import { openTransport } from '../../openTransport/index.js';
import digestRecords from '../_lib/digestRecords.js';
import { installDelta, installSnapshot } from '../_lib/installEncoded.js';
import { PayloadCache } from '../_lib/PayloadCache.js';
import selectRandom from '../_lib/selectRandom.js';
import sleep from '../_lib/sleep.js';
import Wakeup from '../_lib/Wakeup.js';
import { LinkError } from '../LinkError/index.js';
import * as timing from '../timing.js';

import type { Configuration } from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import type {
  GossipRequest,
  GossipResponse,
  RecordStamp,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import type { NodeRecord } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';
import type { EndpointDirectory } from '../../../process/endpoints/EndpointDirectory/index.js';
import type { RolloutSet } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { RolloutHolder } from '../../../process/holder/RolloutHolder/index.js';
import type { ConfigurationHolder } from '../../../process/holder/ConfigurationHolder/index.js';
import type { TlsMaterial } from '../../openTransport/index.js';
import type ByteMeter from '../_lib/ByteMeter.js';
import type { HeldVersion } from '../_lib/PayloadCache.js';

/** Dependencies of the gossip of a node. */
export interface GossipParts {
  nodeId: string;
  dataCentre: string;
  holder: ConfigurationHolder;
  directory: EndpointDirectory;
  meter: ByteMeter;
  /** host:port of peers to contact while no records of peers are known. */
  seeds: string[];
  /** Returns whether a control VM is attached; peers cannot add records then. */
  isAttached: () => boolean;
  /** Called when a peer holds a newer state of the record of this node. */
  onSuperseded: (recordedIncarnation: bigint) => void;
  /** Roll-outs to offer and adopt; none are sent without it. */
  rolloutHolder?: RolloutHolder;
}

export interface GossipOptions {
  now: () => number;
  random: () => number;
  tls: () => TlsMaterial | undefined;
  intervalMs: number;
  fanout: number;
  callTimeoutMs: number;
}

/** Result of polling every peer for its version. */
export interface PeerPollResult {
  reachedCount: number;
  /** Whether all peers that responded hold the same version as this node. */
  isSameVersion: boolean;
}

interface PeerState extends HeldVersion {
  nodeId: string;
  digest: Uint8Array;
  rollouts?: RolloutSet;
}

type GossipInit = MessageInitShape<typeof GossipRequestSchema>;

const log = createLogger('gossip');

const isSameBytes = (left: Uint8Array, right: Uint8Array): boolean =>
  Buffer.compare(left, right) === 0;

const readKind = (message: GossipRequest | GossipResponse): { case: string } => ({
  case: message.configuration.case ?? 'gossip',
});

/** Push-pull gossip with a bounded number of random peers per round. */
export class PeerGossip {
  readonly #parts: GossipParts;

  readonly #options: GossipOptions;

  readonly #payloads: PayloadCache;

  readonly #recentVersions = new Map<number, Configuration>();

  readonly #changedNodeIds = new Set<string>();

  readonly #wakeup = new Wakeup();

  #hasChanges = true;

  #digest: { revision: number; bytes: Uint8Array } | undefined;

  constructor(parts: GossipParts, options: GossipOptions) {
    this.#parts = parts;
    this.#options = options;
    this.#payloads = new PayloadCache((version) => this.#recentVersions.get(version));
    parts.holder.onInstalled(({ configuration }) => this.#handleInstalled(configuration));
    parts.directory.onChanged((nodeId) => this.#handleRecordChange(nodeId));
    parts.rolloutHolder?.onAdopted(() => {
      if (!parts.isAttached()) this.#requestRound();
    });
  }

  /** Adds the service for peers to the router of the process. */
  registerRoutes(router: ConnectRouter): void {
    router.service(
      PeerService,
      { gossip: (request, context) => this.#handleRequest(request, context) },
      { acceptCompression: [], readMaxBytes: timing.MAX_MESSAGE_BYTES },
    );
  }

  /**
   * Runs gossip rounds while no control VM is attached: one after each change, and otherwise one per
   * interval.
   */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.#wakeup.set());
    while (!signal.aborted) {
      if (!this.#parts.isAttached()) {
        await this.#runRound();
        await sleep(timing.GOSSIP_MIN_INTERVAL_MS, signal);
      }
      if (!signal.aborted) await this.#wakeup.wait(this.#options.intervalMs);
    }
  }

  /** Polls every known peer of the data centre with bounded concurrency. */
  async pollPeers(): Promise<PeerPollResult> {
    const addresses = this.#listPeers();
    const responses: GossipResponse[] = [];
    let next = 0;
    const pollNext = async (): Promise<void> => {
      while (next < addresses.length) {
        const address = addresses[next] as string;
        next += 1;
        const result = await this.#exchangeWith(address, []);
        result.map((response) => responses.push(response));
      }
    };
    await Promise.all(Array.from({ length: timing.POLL_CONCURRENCY }, pollNext));
    const held = this.#readHeld();
    return {
      reachedCount: responses.length,
      isSameVersion: responses.every(
        (response) =>
          response.version === held.version && isSameBytes(response.contentHash, held.contentHash),
      ),
    };
  }

  #handleInstalled(configuration: Configuration): void {
    this.#recentVersions.set(configuration.version, configuration);
    const versions = [...this.#recentVersions.keys()];
    versions
      .slice(0, -timing.RETAINED_VERSIONS)
      .forEach((version) => this.#recentVersions.delete(version));
    if (!this.#parts.isAttached()) this.#requestRound();
  }

  #handleRecordChange(nodeId: string): void {
    if (this.#parts.isAttached()) return;
    this.#changedNodeIds.add(nodeId);
    this.#requestRound();
  }

  #requestRound(): void {
    this.#hasChanges = true;
    this.#wakeup.set();
  }

  #listPeers(): string[] {
    const { directory, dataCentre, nodeId, seeds } = this.#parts;
    const known = directory
      .records()
      .filter((record) => record.dataCentre === dataCentre && record.nodeId !== nodeId)
      .map((record) => record.peerAddress)
      .filter((address) => address !== '');
    return known.length > 0 ? known : seeds;
  }

  async #runRound(): Promise<void> {
    const changedNodeIds = [...this.#changedNodeIds];
    this.#changedNodeIds.clear();
    const { fanout, random } = this.#options;
    // Without changes, a round only repairs missed updates, and each call costs a connection.
    const peerCount = this.#hasChanges ? fanout : 1;
    this.#hasChanges = false;
    const addresses = selectRandom(this.#listPeers(), peerCount, random);
    await Promise.all(addresses.map((address) => this.#exchangeWith(address, changedNodeIds)));
  }

  /** Exchanges state with one peer in one call, or in up to three calls if the states differ. */
  async #exchangeWith(
    address: string,
    changedNodeIds: string[],
  ): Promise<ResultAsync<GossipResponse, LinkError>> {
    const tls = this.#options.tls();
    const { transport, close } = openTransport(
      address,
      tls ? { tls, peerRole: ProcessRole.Node } : {},
    );
    const client = createClient(PeerService, transport);
    const call = async (init: GossipInit): Promise<GossipResponse> => {
      const request = create(GossipRequestSchema, { ...this.#describeState(), ...init });
      this.#parts.meter.countSent(GossipRequestSchema, request, readKind(request));
      const timeoutMs = this.#options.callTimeoutMs;
      const response = await client.gossip(request, { timeoutMs });
      this.#parts.meter.countReceived(GossipResponseSchema, response, readKind(response));
      this.#handleResponse(response);
      return response;
    };
    const exchange = this.#reconcile(call, changedNodeIds).finally(close);
    return ResultAsync.fromPromise(exchange, (cause) => LinkError.from(cause)).mapErr((error) => {
      log.debug({ address, code: error.code }, error.message);
      return error;
    });
  }

  async #reconcile(
    call: (init: GossipInit) => Promise<GossipResponse>,
    changedNodeIds: string[],
  ): Promise<GossipResponse> {
    const first = await call({ records: this.#findRecords(changedNodeIds) });
    const configuration = this.#encodeFor(first);
    const isDifferent = !isSameBytes(first.digest, this.#readDigest());
    if (configuration === undefined && !isDifferent) return first;
    const comparison = isDifferent ? { isComparing: true, held: this.#listStamps() } : {};
    const second = await call({ ...comparison, configuration });
    if (second.wantedNodeIds.length === 0) return second;
    return call({ records: this.#findRecords(second.wantedNodeIds) });
  }

  #handleRequest(request: GossipRequest, context: HandlerContext): GossipResponse {
    requireCaller(context.values, request.nodeId);
    this.#parts.meter.countReceived(GossipRequestSchema, request, readKind(request));
    const nowMs = this.#options.now();
    this.#install(request.configuration, nowMs);
    this.#adoptRollouts(request.rollouts);
    request.records.forEach((record) => this.#merge(record, request.nodeId, nowMs));
    const response = create(GossipResponseSchema, {
      ...this.#describeState(),
      configuration: this.#encodeFor(request),
      ...(request.isComparing ? this.#compare(request.held) : {}),
    });
    this.#parts.meter.countSent(GossipResponseSchema, response, readKind(response));
    return response;
  }

  #handleResponse(response: GossipResponse): void {
    const nowMs = this.#options.now();
    this.#install(response.configuration, nowMs);
    this.#adoptRollouts(response.rollouts);
    response.records.forEach((record) => this.#merge(record, response.nodeId, nowMs));
  }

  #install(configuration: GossipRequest['configuration'], nowMs: number): void {
    const { holder } = this.#parts;
    if (configuration.case === undefined) return;
    const install = configuration.case === 'delta' ? installDelta : installSnapshot;
    install(holder, configuration.value, nowMs).mapErr((error) =>
      log.warn({ version: error.version, code: error.code }, error.message),
    );
  }

  #adoptRollouts(set: RolloutSet | undefined): void {
    if (set !== undefined) this.#parts.rolloutHolder?.adopt(set);
  }

  // While a control VM is attached, a peer can only update known records and its own: it may still
  // hold records that were removed.
  #merge(record: NodeRecord, senderId: string, nowMs: number): void {
    const { directory, nodeId, isAttached, onSuperseded } = this.#parts;
    const known = directory.find(record.nodeId);
    if (record.nodeId === nodeId) {
      if (known !== undefined && compareStamps(record, known) > 0) onSuperseded(record.incarnation);
    } else if (!isAttached() || known !== undefined || record.nodeId === senderId) {
      directory.merge(record, nowMs);
    }
  }

  #compare(held: RecordStamp[]): Pick<GossipResponse, 'records' | 'wantedNodeIds'> {
    const { directory, isAttached } = this.#parts;
    const stamps = new Map(held.map((stamp) => [stamp.nodeId, stamp]));
    const records = directory.records().filter((record) => {
      const stamp = stamps.get(record.nodeId);
      return stamp === undefined || compareStamps(record, stamp) > 0;
    });
    const wanted = held.filter((stamp) => {
      const own = directory.find(stamp.nodeId) ?? directory.findRemovedStamp(stamp.nodeId);
      if (own === undefined) return !isAttached();
      return compareStamps(stamp, own) > 0;
    });
    return { records, wantedNodeIds: wanted.map((stamp) => stamp.nodeId) };
  }

  #encodeFor(other: HeldVersion): GossipRequest['configuration'] | undefined {
    const held = this.#parts.holder.current()?.configuration;
    if (held === undefined || held.version <= other.version) return undefined;
    const { kind, bytes } = this.#payloads.encodeUpdate(other, held);
    return { case: kind, value: bytes };
  }

  #readHeld(): HeldVersion {
    const held = this.#parts.holder.current()?.configuration;
    return { version: held?.version ?? 0, contentHash: held?.contentHash ?? new Uint8Array() };
  }

  #describeState(): PeerState {
    const { nodeId, rolloutHolder } = this.#parts;
    const rollouts = rolloutHolder?.current();
    const state = { nodeId, ...this.#readHeld(), digest: this.#readDigest() };
    return { ...state, ...(rollouts && { rollouts }) };
  }

  #readDigest(): Uint8Array {
    const { directory } = this.#parts;
    if (this.#digest?.revision !== directory.revision) {
      const { revision } = directory;
      this.#digest = { revision, bytes: digestRecords(directory.records()) };
    }
    return this.#digest.bytes;
  }

  #listStamps(): RecordStamp[] {
    return this.#parts.directory
      .records()
      .map(({ nodeId, incarnation, sequence }) =>
        create(RecordStampSchema, { nodeId, incarnation, sequence }),
      );
  }

  #findRecords(nodeIds: string[]): NodeRecord[] {
    return nodeIds.flatMap((nodeId) => this.#parts.directory.find(nodeId) ?? []);
  }
}
