import { create } from '@bufbuild/protobuf';
import { err, ok } from 'neverthrow';

import type { Result } from 'neverthrow';
import {
  NodeRecordSchema,
  ServerSchema,
  ServerState,
} from '../../../_generated/foxtailvane/v1/endpoints_pb.js';
import { createLogger } from '../../log/index.js';
import type { LogContext } from '../../log/index.js';
import { AnnouncementError, AnnouncementErrorCode } from '../AnnouncementError/index.js';
import { AdaptiveLimiter } from '../ConcurrencyLimiter/index.js';
import ServerWork from '../ServerWork/index.js';
import { RouteLatencies } from '../RouteLatencies/index.js';
import { SlotGate } from '../SlotGate/index.js';
import { EndedInstances } from '../_lib/EndedInstances/index.js';
import { AnnouncedState } from '../_lib/parseAnnouncement.js';

import type { Service } from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import type { NodeRecord, Server } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';
import type { AdmissionPolicy } from '../AdmissionPolicy/index.js';
import type { ConcurrencyLimiter } from '../ConcurrencyLimiter/index.js';
import type RouteCosts from '../RouteCosts/index.js';
import type { ServerInstance } from '../_lib/EndedInstances/index.js';
import type { Announcement } from '../_lib/parseAnnouncement.js';

const DEFAULT_LEASE_MS = 3_000;
/** Limits the size of the node record, which every node of the data centre stores. */
const MAX_SERVERS = 64;

const log = createLogger('local-servers');

const STATES: Record<AnnouncedState, ServerState> = {
  [AnnouncedState.Starting]: ServerState.STARTING,
  [AnnouncedState.Serving]: ServerState.SERVING,
  [AnnouncedState.Draining]: ServerState.DRAINING,
};

/** A backend server that is announced to this node, with its slots. */
export interface LocalServer {
  server: Server;
  leaseEndsAtMs: number;
  readonly gate: SlotGate;
  readonly latencies: RouteLatencies;
  /** Result of the last probe of the server. */
  hint: LoadHint | undefined;
  /** Sequence number of the last announcement of this server instance; 0 when it sends none. */
  sequence: number;
  /** Time until which no connection is attempted, because the last attempt failed. */
  unreachableUntilMs: number;
  /** What the server stated in its last response; undefined before the first one. */
  notice: ServerNotice | undefined;
  /** Last time that the server named a request limit; undefined when it never did. */
  limitedAtMs: number | undefined;
}

/** What a server states about itself in a response. */
export interface ServerNotice {
  /** Requests per second that it accepts from all nodes together; undefined without a limit. */
  maxRequestsPerSecond: number | undefined;
  /** Whether it is about to stop. */
  isLeaving: boolean;
}

/** Health and load that a server reports of itself; may be stale or wrong. */
export interface LoadHint {
  isHealthy: boolean;
  /** Share of its slots in use; undefined when it reports none. */
  load: number | undefined;
  /** Time of the probe, in milliseconds since the epoch. */
  atMs: number;
}

const HINT_TTL_MS = 5_000;
/**
 * A limit is lifted by the response to a request sent this long after the limit was last named:
 * responses overtake each other, and some of a server may not name its limit.
 */
const LIMIT_LIFT_DELAY_MS = 500;
/** Hints never count as full load, so that a server with wrong hints still gets some requests. */
const MAX_HINTED_LOAD = 0.9;

/**
 * Returns the share of a server's slots in use: the exact count, or the hint if that is higher.
 *
 * @param local - the server
 * @param nowMs - present time in milliseconds since the epoch
 */
export const computeLoad = ({ gate, hint }: LocalServer, nowMs: number): number => {
  const exact = gate.used / gate.capacity;
  if (!hint || nowMs - hint.atMs > HINT_TTL_MS) return exact;
  const hinted = hint.isHealthy ? (hint.load ?? 0) : MAX_HINTED_LOAD;
  return Math.max(exact, Math.min(MAX_HINTED_LOAD, hinted));
};

/** Occupancy of a server that refuses connections; higher than that of any queue. */
const UNREACHABLE_OCCUPANCY = 20;

/**
 * Returns the load of a server including its waiting requests, relative to its capacity or to its
 * rate limit, whichever is scarcer.
 */
export const computeOccupancy = (local: LocalServer, nowMs: number): number => {
  if (nowMs < local.unreachableUntilMs) return UNREACHABLE_OCCUPANCY;
  const { gate } = local;
  const slotLoad = computeLoad(local, nowMs) + gate.waiting / gate.capacity;
  return Math.max(slotLoad, gate.estimateRateLoad(nowMs));
};

export interface LocalServersOptions {
  nodeId: string;
  dataCentre: string;
  /** Start time of the node process in milliseconds since the epoch. */
  incarnation: bigint;
  /** Creates the limiter of a server; `AdaptiveLimiter` by default. */
  createLimiter?: (slots: number) => ConcurrencyLimiter;
  /** Time without an announcement after which a server is removed. */
  leaseMs?: number;
  /** Returns a configured service, whose slots and connections limit those of its servers. */
  findService?: (name: string) => Service | undefined;
  /** Requests that may wait per slot of a server, for the default policy. */
  queuePerSlot?: number | undefined;
  /** Order in which requests wait for a slot; `QuickFirstPolicy` by default. */
  admissionPolicy?: AdmissionPolicy | undefined;
  /** Costs of requests, by which the waits at servers are estimated; the mean hold time by default. */
  routeCosts?: RouteCosts | undefined;
}

type RecordListener = (record: NodeRecord) => void;

const isSameServer = (left: Server, right: Server): boolean =>
  left.service === right.service &&
  left.address === right.address &&
  left.directAddress === right.directAddress &&
  left.slots === right.slots &&
  left.connections === right.connections &&
  left.state === right.state &&
  left.bornAtMs === right.bornAtMs &&
  left.softwareVersion === right.softwareVersion &&
  left.servingSinceMs === right.servingSinceMs;

const createLogFields = ({
  service,
  softwareVersion,
  address,
  slots,
  state,
  bornAtMs,
}: Server): LogContext => ({
  service,
  ...(softwareVersion !== '' && { softwareVersion }),
  address,
  slots,
  state: ServerState[state],
  bornAtMs: Number(bornAtMs),
});

/** Opens the gate of a serving server; others refuse new requests, so that these run elsewhere. */
const applyState = (gate: SlotGate, server: Server): void => {
  if (server.state === ServerState.SERVING) gate.open();
  else gate.close();
};

/** Returns the announced number, or the limit of the service if that is lower. */
const applyLimit = (announced: number, limit: number | undefined): number =>
  limit === undefined || limit === 0 ? announced : Math.min(announced, limit);

/**
 * Holds the backend servers that are announced to this node, and the node record that lists them.
 *
 * @example
 * const servers = new LocalServers({ nodeId: 'n1', dataCentre: 'a', incarnation: 1n });
 * servers.announce('desk-1', announcement, Date.now());
 */
export class LocalServers {
  readonly leaseMs: number;

  readonly #queuePerSlot: number | undefined;

  readonly #admissionPolicy: AdmissionPolicy | undefined;

  readonly #routeCosts: RouteCosts | undefined;

  readonly #findService: (name: string) => Service | undefined;

  readonly #servers = new Map<string, LocalServer>();

  /** Gates of removed servers whose requests still run, by address; their slots stay counted. */
  readonly #retiredGates = new Map<string, SlotGate>();

  readonly #ended = new EndedInstances();

  /** Instance per address that stated its departure; a late announcement may still call it serving. */
  readonly #departingByAddress = new Map<string, ServerInstance>();

  readonly #listeners = new Set<RecordListener>();

  readonly #createLimiter: (slots: number) => ConcurrencyLimiter;

  #record: NodeRecord;

  constructor(options: LocalServersOptions) {
    this.#createLimiter = options.createLimiter ?? ((slots: number) => new AdaptiveLimiter(slots));
    this.leaseMs = options.leaseMs ?? DEFAULT_LEASE_MS;
    this.#queuePerSlot = options.queuePerSlot;
    this.#admissionPolicy = options.admissionPolicy;
    this.#routeCosts = options.routeCosts;
    this.#findService = options.findService ?? (() => undefined);
    this.#record = create(NodeRecordSchema, {
      nodeId: options.nodeId,
      dataCentre: options.dataCentre,
      incarnation: options.incarnation,
      sequence: 1,
    });
  }

  /** Returns the current record of this node; each change creates a new object. */
  record(): NodeRecord {
    return this.#record;
  }

  /** Calls the listener with each new record; returns a function that unsubscribes it. */
  onChanged(listener: RecordListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Returns an announced server by its id. */
  find(serverId: string): LocalServer | undefined {
    return this.#servers.get(serverId);
  }

  /** Returns all announced servers. */
  list(): LocalServer[] {
    return [...this.#servers.values()];
  }

  get isDraining(): boolean {
    return this.#record.draining;
  }

  /**
   * Sets the addresses at which other nodes reach this node.
   *
   * @param addresses - `host:port` of `forward_listen` and `peer_listen`
   */
  setAddresses(addresses: { forwardAddress: string; peerAddress: string }): void {
    this.#publish(addresses);
  }

  /**
   * Adds a server or renews its lease.
   *
   * An announcement may arrive late: one of an earlier instance at the address, or one without a
   * higher sequence number than the last, is ignored.
   *
   * @param serverId - id of the server, unique on this node
   * @param announcement - validated announcement
   * @param nowMs - present time in milliseconds since the epoch
   * @returns an error for a new server when the node drains or holds too many servers
   */
  announce(
    serverId: string,
    announcement: Announcement,
    nowMs: number,
  ): Result<void, AnnouncementError> {
    if (this.#isOutdated(serverId, announcement)) {
      const { bornAtMs, sequence } = announcement;
      log.info({ serverId, bornAtMs, sequence }, 'outdated announcement ignored');
      return ok();
    }
    this.#removePrevious(serverId, announcement);
    const known = this.#servers.get(serverId);
    if (!known && this.isDraining) {
      return err(new AnnouncementError(AnnouncementErrorCode.NodeDraining, 'the node is draining'));
    }
    if (!known && this.#servers.size >= MAX_SERVERS) {
      const message = `the node has reached its limit of ${MAX_SERVERS} servers`;
      return err(new AnnouncementError(AnnouncementErrorCode.TooManyServers, message));
    }
    const server = this.#toServer(serverId, announcement, known?.server, nowMs);
    const leaseEndsAtMs = nowMs + this.leaseMs;
    if (!known) {
      const gate = this.#getGate(server, nowMs);
      applyState(gate, server);
      this.#servers.set(serverId, {
        server,
        leaseEndsAtMs,
        gate,
        latencies: new RouteLatencies(),
        hint: undefined,
        sequence: announcement.sequence ?? 0,
        unreachableUntilMs: 0,
        notice: undefined,
        limitedAtMs: undefined,
      });
      log.info({ serverId, ...createLogFields(server) }, 'server announced');
      this.#publish();
      return ok();
    }
    known.leaseEndsAtMs = leaseEndsAtMs;
    known.sequence = announcement.sequence ?? 0;
    if (!isSameServer(known.server, server)) {
      const hasNewSlots = known.server.slots !== server.slots;
      known.server = server;
      applyState(known.gate, server);
      if (hasNewSlots) known.gate.setSlots(server.slots, nowMs);
      log.info({ serverId, ...createLogFields(server) }, 'server changed');
      this.#publish();
    }
    return ok();
  }

  /**
   * Removes a server without waiting for its lease to end, and ignores its late announcements.
   *
   * The instance may be unknown to a node that has just started, or its start time may be. Then all
   * starts under its id until the time of the withdrawal have ended.
   *
   * @param serverId - id of the server
   * @param instance - what the server states of itself: its `IP:port`, and its start time in
   *   milliseconds since the epoch; and when it did so, on the same clock
   * @returns an error when no such server is announced, or only a later start of it
   */
  withdraw(
    serverId: string,
    instance: {
      address?: string | undefined;
      bornAtMs?: number | undefined;
      withdrawnAtMs?: number;
    } = {},
  ): Result<void, AnnouncementError> {
    const known = this.#servers.get(serverId)?.server;
    const knownBornAtMs = Number(known?.bornAtMs ?? 0n);
    const { address = known?.address, bornAtMs = knownBornAtMs, withdrawnAtMs } = instance;
    if (address !== undefined) {
      this.#recordEnded({ serverId, address, bornAtMs });
      if (bornAtMs === 0 && withdrawnAtMs !== undefined)
        this.#ended.recordUndated(address, serverId, withdrawnAtMs);
    }
    if (bornAtMs < knownBornAtMs) {
      const message = `the announced server "${serverId}" started later`;
      return err(new AnnouncementError(AnnouncementErrorCode.UnknownServer, message, 'serverId'));
    }
    if (!this.#remove(serverId)) {
      const message = `no server "${serverId}" is announced`;
      return err(new AnnouncementError(AnnouncementErrorCode.UnknownServer, message, 'serverId'));
    }
    this.#publish();
    return ok();
  }

  /**
   * Removes the servers whose lease has ended.
   *
   * @param nowMs - present time in milliseconds since the epoch
   * @returns ids of the removed servers
   */
  expire(nowMs: number): string[] {
    const expired = [...this.#servers]
      .filter(([, entry]) => entry.leaseEndsAtMs <= nowMs)
      .map(([serverId]) => serverId);
    expired.forEach((serverId) => {
      log.warn({ serverId, leaseMs: this.leaseMs }, 'server removed: lease not renewed');
      this.#remove(serverId);
    });
    if (expired.length > 0) this.#publish();
    return expired;
  }

  /**
   * Returns whether the last server that was withdrawn at an address had this id.
   *
   * @param serverId - id of the server
   * @param address - its `IP:port`
   */
  isWithdrawn(serverId: string, address: string): boolean {
    return this.#ended.hasId(address, serverId);
  }

  /** Records the result of a probe of a server. */
  recordHint(serverId: string, hint: LoadHint): void {
    const entry = this.#servers.get(serverId);
    if (entry) entry.hint = hint;
  }

  /**
   * Records what a server stated in a response.
   *
   * @param local - the server that responded
   * @param notice - what it stated
   * @param times - when the request was sent, and the present time, in milliseconds since the epoch
   */
  recordNotice(
    local: LocalServer,
    notice: ServerNotice,
    times: { sentAtMs: number; nowMs: number },
  ): void {
    this.#applyLimit(local, notice.maxRequestsPerSecond, times);
    if (notice.isLeaving && !local.notice?.isLeaving) this.#recordDeparture(local);
    Object.assign(local, { notice });
  }

  /**
   * Limits the requests to a server that has not responded to this node yet, by a limit that it named
   * to another node.
   *
   * @param local - the server
   * @param maxRequestsPerSecond - limit that the other node knows
   * @param nowMs - present time in milliseconds since the epoch
   */
  adoptLimit(local: LocalServer, maxRequestsPerSecond: number, nowMs: number): void {
    if (local.notice || local.limitedAtMs !== undefined) return;
    this.#applyLimit(local, maxRequestsPerSecond, { sentAtMs: nowMs, nowMs });
  }

  /** Publishes under which requests servers beside this node ended, and which ones they answered. */
  publishCrashes(report: Pick<NodeRecord, 'crashSuspects' | 'answeredSuspects'>): void {
    this.#publish(report);
  }

  /** Marks the node as draining, so that none of its servers is selected any more. */
  drain(): void {
    if (!this.isDraining) this.#publish({ draining: true });
  }

  /** Stops sending requests to a server that is about to stop, before it announces that itself. */
  #recordDeparture(target: LocalServer): void {
    const local = target;
    const { serverId, address, bornAtMs } = local.server;
    log.info({ serverId }, 'server states that it is about to stop');
    this.#departingByAddress.set(address, { serverId, bornAtMs: Number(bornAtMs) });
    local.gate.close();
    if (this.#servers.get(serverId) !== local) return;
    local.server = create(ServerSchema, {
      ...local.server,
      state: ServerState.DRAINING,
      servingSinceMs: 0n,
    });
    this.#publish();
  }

  #isDeparting(serverId: string, { address, bornAtMs = 0 }: Announcement): boolean {
    const departing = this.#departingByAddress.get(address);
    if (departing?.serverId !== serverId) return false;
    // The start time of a server that was found by a probe is known from its next announcement on.
    if (departing.bornAtMs === 0) departing.bornAtMs = bornAtMs;
    return bornAtMs === 0 || bornAtMs === departing.bornAtMs;
  }

  #applyLimit(
    target: LocalServer,
    maxRequestsPerSecond: number | undefined,
    { sentAtMs, nowMs }: { sentAtMs: number; nowMs: number },
  ): void {
    const local = target;
    const isLifted =
      local.limitedAtMs === undefined || sentAtMs >= local.limitedAtMs + LIMIT_LIFT_DELAY_MS;
    if (maxRequestsPerSecond === undefined && !isLifted) return;
    if (maxRequestsPerSecond !== undefined) local.limitedAtMs = nowMs;
    const { gate, server } = local;
    const previous = gate.maxRequestsPerSecond;
    gate.limitRate(maxRequestsPerSecond, nowMs);
    if (gate.maxRequestsPerSecond === previous) return;
    const { serverId } = server;
    log.info({ serverId, maxRequestsPerSecond, previous }, 'server changed its request limit');
  }

  #isOutdated(serverId: string, { address, bornAtMs, sequence }: Announcement): boolean {
    if (bornAtMs === undefined) return false;
    if (this.#ended.has(address, { serverId, bornAtMs })) return true;
    const current = this.#findByAddress(address);
    if (!current) return false;
    const currentBornAtMs = Number(current.server.bornAtMs);
    if (bornAtMs !== currentBornAtMs) return bornAtMs < currentBornAtMs;
    return current.server.serverId === serverId && (sequence ?? 0) <= current.sequence;
  }

  #findByAddress(address: string): LocalServer | undefined {
    return this.list().find(({ server }) => server.address === address);
  }

  /** Removes the previous server at the address if the announcement is of another instance. */
  #removePrevious(serverId: string, { address, bornAtMs }: Announcement): void {
    const previous = this.#findByAddress(address);
    if (!previous || bornAtMs === undefined) return;
    // The start time of a server that was discovered by a probe is unknown.
    const previousBornAtMs = Number(previous.server.bornAtMs) || bornAtMs;
    const isSameInstance = previous.server.serverId === serverId && previousBornAtMs === bornAtMs;
    if (isSameInstance) return;
    log.info(
      { serverId, formerServerId: previous.server.serverId, bornAtMs },
      'server replaced by a new instance',
    );
    this.#recordEnded({ ...previous.server, bornAtMs: Number(previous.server.bornAtMs) });
    this.#remove(previous.server.serverId);
  }

  #recordEnded({ serverId, address, bornAtMs }: ServerInstance & { address: string }): void {
    if (bornAtMs > 0) this.#ended.record(address, { serverId, bornAtMs });
  }

  #remove(serverId: string): boolean {
    const entry = this.#servers.get(serverId);
    if (!entry) return false;
    entry.gate.close();
    if (entry.gate.used > 0) this.#retiredGates.set(entry.server.address, entry.gate);
    return this.#servers.delete(serverId);
  }

  #getGate(server: Server, nowMs: number): SlotGate {
    [...this.#retiredGates]
      .filter(([, gate]) => gate.used === 0)
      .forEach(([address]) => this.#retiredGates.delete(address));
    const retired = this.#retiredGates.get(server.address);
    if (!retired) return this.#createGate(server.slots);
    this.#retiredGates.delete(server.address);
    // The limit was that of the previous server at the address.
    retired.limitRate(undefined, nowMs);
    retired.open();
    retired.setSlots(server.slots, nowMs);
    return retired;
  }

  #createGate(slots: number): SlotGate {
    const limiter = this.#createLimiter(slots);
    const queuePerSlot = this.#queuePerSlot;
    const policy = this.#admissionPolicy;
    return new SlotGate({
      slots,
      limiter,
      ...(queuePerSlot !== undefined && { queuePerSlot }),
      ...(policy && { policy }),
      ...(this.#routeCosts && { work: new ServerWork(this.#routeCosts) }),
    });
  }

  #toServer(
    serverId: string,
    announcement: Announcement,
    previous: Server | undefined,
    nowMs: number,
  ): Server {
    const isDeparting = this.#isDeparting(serverId, announcement);
    const state = isDeparting ? ServerState.DRAINING : STATES[announcement.state];
    const keepsServing =
      previous?.state === ServerState.SERVING && previous.address === announcement.address;
    const servingSinceMs = keepsServing ? previous.servingSinceMs : BigInt(nowMs);
    // The limits are read at each renewal, so a new configuration applies within one lease.
    const service = this.#findService(announcement.service);
    return create(ServerSchema, {
      serverId,
      service: announcement.service,
      address: announcement.address,
      directAddress: announcement.directAddress ?? '',
      slots: applyLimit(announcement.slots, service?.slots),
      connections: applyLimit(announcement.connections, service?.connections),
      state,
      servingSinceMs: state === ServerState.SERVING ? servingSinceMs : 0n,
      bornAtMs: BigInt(announcement.bornAtMs ?? 0),
      softwareVersion: announcement.softwareVersion ?? '',
    });
  }

  #publish(change: Partial<Omit<NodeRecord, '$typeName'>> = {}): void {
    this.#record = create(NodeRecordSchema, {
      ...this.#record,
      ...change,
      sequence: this.#record.sequence + 1,
      servers: [...this.#servers.values()].map((entry) => entry.server),
    });
    this.#listeners.forEach((listener) => listener(this.#record));
  }
}
