/** Exchange of node records and node progress among control VMs. */
import { create } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';

import type { ConnectRouter } from '@connectrpc/connect';
import {
  ExchangeService,
  FollowResponseSchema,
  RecordStampSchema,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import PolledTimeout from '../../../process/PolledTimeout/index.js';
import { createLogger } from '../../../process/log/index.js';
import { ProcessRole } from '../../../process/tls/readIdentity/index.js';
import { openTransport } from '../../openTransport/index.js';
import ByteMeter from '../_lib/ByteMeter.js';
import { computeBackoff } from '../_lib/computeBackoff.js';
import FollowerFeed from '../_lib/FollowerFeed.js';
import sleep from '../_lib/sleep.js';
import * as timing from '../timing.js';
import { LinkError } from '../LinkError/index.js';

import type {
  FollowResponse,
  NodeProgress,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import type { NodeRecord } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';
import type { NodeStatus } from '../../../process/nodeStatus/types.js';
import type { MetricsRegistry } from '../../../process/metrics/index.js';
import type { TlsMaterial } from '../../openTransport/index.js';
import type { DistributionHub } from '../DistributionHub/index.js';

/** Another control VM. */
export interface ExchangePeer {
  memberId: string;
  /** host:port of its connect-es listener. */
  address: string;
}

export interface ExchangeOptions {
  metrics?: MetricsRegistry;
  tls?: () => TlsMaterial | undefined;
  /** Uniform in [0, 1). */
  random?: () => number;
  /** Current time in milliseconds since the epoch. */
  now?: () => number;
  heartbeatIntervalMs?: number;
  silenceMs?: number;
  windowMs?: number;
}

/** Reachability of another control VM from this one. */
export interface ExchangeStatus extends ExchangePeer {
  isReachable: boolean;
  /** Time of its last update in milliseconds since the epoch; 0 before the first one. */
  lastUpdateAtMs: number;
}

interface FollowedPeer {
  peer: ExchangePeer;
  stopping: AbortController;
  running: Promise<void>;
  isReachable: boolean;
  lastUpdateAtMs: number;
  /** Ids of the nodes attached to the peer; its updates renew their leases. */
  attachedNodeIds: Set<string>;
}

const log = createLogger('exchange');

const readKind = ({ reports }: FollowResponse): { case: string } => ({
  case: reports.length > 0 ? 'reports' : 'update',
});

/** Follows every other control VM and serves those that follow this one. */
export class ControlExchange {
  readonly #memberId: string;

  readonly #hub: DistributionHub;

  readonly #listPeers: () => ExchangePeer[];

  readonly #options: ExchangeOptions;

  readonly #now: () => number;

  readonly #meter: ByteMeter;

  readonly #followed = new Map<string, FollowedPeer>();

  readonly #feeds = new Set<FollowerFeed>();

  #timers: NodeJS.Timeout[] = [];

  #unsubscribers: (() => void)[] = [];

  /**
   * @param memberId - name of this control VM
   * @param hub - hub that serves the nodes attached to this control VM
   * @param listPeers - returns the control VMs; called again at each heartbeat
   */
  constructor(
    memberId: string,
    hub: DistributionHub,
    listPeers: () => ExchangePeer[],
    options: ExchangeOptions = {},
  ) {
    this.#memberId = memberId;
    this.#hub = hub;
    this.#listPeers = listPeers;
    this.#options = options;
    this.#now = options.now ?? Date.now;
    this.#meter = new ByteMeter(options.metrics, 'exchange');
  }

  /** Adds the service for other control VMs to the router of the process. */
  registerRoutes(router: ConnectRouter): void {
    router.service(
      ExchangeService,
      { follow: (_, context) => this.#serve(context.signal) },
      { acceptCompression: [], readMaxBytes: timing.MAX_MESSAGE_BYTES },
    );
  }

  /** Starts one task per other control VM; does not wait for connections. */
  start(): void {
    const heartbeatMs = this.#options.heartbeatIntervalMs ?? timing.HEARTBEAT_INTERVAL_MS;
    const windowMs = this.#options.windowMs ?? timing.ENDPOINT_WINDOW_MS;
    const { directory, nodeStatuses, trafficReports } = this.#hub;
    this.#unsubscribers = [
      directory.onChanged((nodeId) => {
        if (nodeStatuses.isOwn(nodeId))
          this.#feeds.forEach((feed) => feed.addChangedRecord(nodeId));
      }),
      nodeStatuses.onOwnChanged((nodeId) =>
        this.#feeds.forEach((feed) => feed.addChangedReport(nodeId)),
      ),
      trafficReports.onChanged((nodeId) => {
        if (nodeStatuses.isOwn(nodeId))
          this.#feeds.forEach((feed) => feed.addChangedTraffic(nodeId));
      }),
    ];
    this.#timers = [
      setInterval(() => this.#feeds.forEach((feed) => feed.wakeup.set()), windowMs),
      setInterval(() => this.#feeds.forEach((feed) => feed.requestRenewal()), heartbeatMs),
      setInterval(() => this.#reconcile(), heartbeatMs),
    ];
    this.#reconcile();
  }

  /** Ends all streams; resolves when all tasks have ended. */
  async stop(): Promise<void> {
    this.#timers.forEach((timer) => clearInterval(timer));
    this.#unsubscribers.forEach((unsubscribe) => unsubscribe());
    this.#feeds.forEach((feed) => feed.close());
    const followed = [...this.#followed.values()];
    this.#followed.clear();
    followed.forEach(({ stopping }) => stopping.abort());
    await Promise.all(followed.map(({ running }) => running));
  }

  /** Byte counts by direction and message kind. */
  get meter(): ByteMeter {
    return this.#meter;
  }

  /** Returns the reachability of every other control VM. */
  readStatus(): ExchangeStatus[] {
    return [...this.#followed.values()].map(({ peer, isReachable, lastUpdateAtMs }) => ({
      ...peer,
      isReachable,
      lastUpdateAtMs,
    }));
  }

  /**
   * Returns the status of the nodes of all control VMs. A node whose control VM is unreachable is
   * listed as disconnected, with its last known version.
   */
  async readNodeStatuses(): Promise<NodeStatus[]> {
    return this.#hub.nodeStatuses.listStatuses(
      (memberId) => this.#followed.get(memberId)?.isReachable === true,
    );
  }

  async *#serve(signal: AbortSignal): AsyncGenerator<FollowResponse> {
    const feed = new FollowerFeed(this.#hub);
    this.#feeds.add(feed);
    signal.addEventListener('abort', () => feed.close());
    try {
      while (!feed.isClosed) {
        const update = feed.collect(this.#memberId, this.#now());
        if (update === undefined) {
          await feed.wakeup.wait();
        } else {
          this.#meter.countSent(FollowResponseSchema, update, readKind(update));
          yield update;
        }
      }
    } finally {
      this.#feeds.delete(feed);
    }
  }

  #reconcile(): void {
    const peers = new Map(
      this.#listPeers()
        .filter((peer) => peer.memberId !== this.#memberId)
        .map((peer) => [peer.memberId, peer]),
    );
    this.#followed.forEach((followed, memberId) => {
      if (peers.get(memberId)?.address === followed.peer.address) return;
      followed.stopping.abort();
      this.#followed.delete(memberId);
    });
    peers.forEach((peer, memberId) => {
      if (!this.#followed.has(memberId)) this.#startFollowing(peer);
    });
  }

  #startFollowing(peer: ExchangePeer): void {
    const followed: FollowedPeer = {
      peer,
      stopping: new AbortController(),
      running: Promise.resolve(),
      isReachable: false,
      lastUpdateAtMs: 0,
      attachedNodeIds: new Set(),
    };
    this.#followed.set(peer.memberId, followed);
    followed.running = this.#follow(followed);
  }

  async #follow(followed: FollowedPeer): Promise<void> {
    const { signal } = followed.stopping;
    const backoff = {
      baseMs: timing.BACKOFF_BASE_MS,
      capMs: timing.BACKOFF_CAP_MS,
      random: this.#options.random ?? Math.random,
    };
    let attempt = 0;
    while (!signal.aborted) {
      const wasReachable = await this.#followOnce(followed);
      attempt = wasReachable ? 0 : attempt + 1;
      await sleep(computeBackoff(attempt, backoff), signal);
    }
  }

  async #followOnce(followed: FollowedPeer): Promise<boolean> {
    const tls = this.#options.tls?.();
    const { transport, close } = openTransport(
      followed.peer.address,
      tls ? { tls, peerRole: ProcessRole.Control } : {},
    );
    const client = createClient(ExchangeService, transport);
    const ended = new AbortController();
    const end = (): void => ended.abort();
    followed.stopping.signal.addEventListener('abort', end);
    const silenceMs = this.#options.silenceMs ?? timing.STREAM_SILENCE_MS;
    const watchdog = new PolledTimeout(end, silenceMs);
    const { signal } = ended;
    try {
      for await (const update of client.follow({ memberId: this.#memberId }, { signal })) {
        watchdog.refresh();
        this.#applyUpdate(followed, update, this.#now());
      }
    } catch (cause) {
      const { code, message } = LinkError.from(cause);
      log.debug({ memberId: followed.peer.memberId, code }, message);
    }
    watchdog.cancel();
    followed.stopping.signal.removeEventListener('abort', end);
    close();
    return this.#markUnreachable(followed);
  }

  #markUnreachable(followed: FollowedPeer): boolean {
    const wasReachable = followed.isReachable;
    Object.assign(followed, { isReachable: false });
    if (wasReachable) log.warn({ memberId: followed.peer.memberId }, 'control VM is unreachable');
    return wasReachable;
  }

  #applyUpdate(followed: FollowedPeer, update: FollowResponse, nowMs: number): void {
    const { memberId } = followed.peer;
    if (!followed.isReachable) log.info({ memberId }, 'following control VM');
    Object.assign(followed, { isReachable: true, lastUpdateAtMs: nowMs });
    this.#meter.countReceived(FollowResponseSchema, update, readKind(update));
    const { directory, nodeStatuses, trafficReports } = this.#hub;
    // A node missing from a full update may be reconnecting to the peer; its record stays until its
    // lease expires.
    if (update.isFull) followed.attachedNodeIds.clear();
    update.progress.forEach((progress) => this.#handleProgress(memberId, progress, nowMs));
    update.upserted.forEach((record) => this.#handleRecord(followed, record, nowMs));
    update.released.forEach((stamp) => {
      followed.attachedNodeIds.delete(stamp.nodeId);
      if (!this.#hub.notifySuperseded(stamp) && !this.#hub.isAttached(stamp.nodeId)) {
        directory.remove(stamp.nodeId, stamp, nowMs);
      }
    });
    update.reports.forEach((report) => trafficReports.merge(report, { memberId }, nowMs));
    followed.attachedNodeIds.forEach((nodeId) => {
      directory.renew(nodeId, nowMs);
      trafficReports.renew(nodeId, nowMs);
    });
    nodeStatuses.extendRetention(memberId, nowMs);
  }

  #handleProgress(memberId: string, progress: NodeProgress, nowMs: number): void {
    const { nodeId, dataCentre, version, isConnected, incarnation, sequence } = progress;
    const refusal =
      progress.refusedVersion === 0
        ? {}
        : { refusedVersion: progress.refusedVersion, refusalReason: progress.refusalReason };
    const inForceAtMs = Number(progress.inForceAtMs);
    const status = { nodeId, dataCentre, version, inForceAtMs, isConnected, ...refusal };
    this.#hub.nodeStatuses.merge(memberId, { ...status, incarnation, sequence }, nowMs);
  }

  // If a newer incarnation of the record is known, the other control VM is notified, so that its node
  // raises its incarnation.
  #handleRecord(followed: FollowedPeer, record: NodeRecord, nowMs: number): void {
    const { directory } = this.#hub;
    const { nodeId } = record;
    followed.attachedNodeIds.add(nodeId);
    if (directory.merge(record, nowMs)) return;
    const known = directory.find(nodeId) ?? directory.findRemovedStamp(nodeId);
    if (known === undefined || known.incarnation <= record.incarnation) return;
    const { incarnation, sequence } = known;
    const stamp = create(RecordStampSchema, { nodeId, incarnation, sequence });
    this.#feeds.forEach((feed) => feed.addNewerStamp(stamp));
  }
}
