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
import { RouteLatencies } from '../RouteLatencies/index.js';
import { SlotGate } from '../SlotGate/index.js';
import { AnnouncedState } from '../_lib/parseAnnouncement.js';

import type { Service } from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import type { NodeRecord, Server } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';
import type { AdmissionPolicy } from '../AdmissionPolicy/index.js';
import type { ConcurrencyLimiter } from '../ConcurrencyLimiter/index.js';
import type { Announcement } from '../_lib/parseAnnouncement.js';

const DEFAULT_LEASE_MS = 3_000;
/** Bounds the record that every node of the data centre holds. */
const MAX_SERVERS = 64;

const log = createLogger('local-servers');

const STATES: Record<AnnouncedState, ServerState> = {
  [AnnouncedState.Starting]: ServerState.STARTING,
  [AnnouncedState.Serving]: ServerState.SERVING,
  [AnnouncedState.Draining]: ServerState.DRAINING,
};

/** A server beside this node, with its slots. */
export interface LocalServer {
  server: Server;
  leaseEndsAtMs: number;
  readonly gate: SlotGate;
  readonly latencies: RouteLatencies;
  /** What the server last said of itself. */
  hint: LoadHint | undefined;
  /** Number of the newest announcement of this start of the server; 0 when it numbers none. */
  sequence: number;
  /** Until then no connection is tried, since the last one failed. */
  unreachableUntilMs: number;
}

/** The last start of a server at an address that has ended. */
interface EndedInstance {
  serverId: string;
  bornAtMs: number;
}

/** What a server says of itself; it lags behind and may mislead. */
export interface LoadHint {
  isHealthy: boolean;
  /** Share of its slots in use; undefined when it does not say. */
  load: number | undefined;
  /** In milliseconds since the epoch. */
  atMs: number;
}

const HINT_TTL_MS = 5_000;
/** Hints never count as full load, so that a misleading server is avoided, but not given up. */
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

/** Load of a server that accepts no connection: more than any queue. */
const UNREACHABLE_OCCUPANCY = 20;

/** Returns the load with the requests that wait, so that it exceeds 1 while there are any. */
export const computeOccupancy = (local: LocalServer, nowMs: number): number =>
  nowMs < local.unreachableUntilMs
    ? UNREACHABLE_OCCUPANCY
    : computeLoad(local, nowMs) + local.gate.waiting / local.gate.capacity;

export interface LocalServersOptions {
  nodeId: string;
  dataCentre: string;
  /** Start time of the node process in milliseconds since the epoch. */
  incarnation: bigint;
  /** Creates the limiter of a server; adaptive unless given. */
  createLimiter?: (slots: number) => ConcurrencyLimiter;
  /** Time without a renewal after which a server is removed. */
  leaseMs?: number;
  /** Returns the declared service, whose slots and connections limit those of its servers. */
  findService?: (name: string) => Service | undefined;
  /** Requests that may wait per slot of a server, of the default policy. */
  queuePerSlot?: number | undefined;
  /** Decides who waits for a slot; quick requests first unless given. */
  admissionPolicy?: AdmissionPolicy | undefined;
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
  left.servingSinceMs === right.servingSinceMs;

const createLogFields = ({ service, address, slots, state, bornAtMs }: Server): LogContext => ({
  service,
  address,
  slots,
  state: ServerState[state],
  bornAtMs: Number(bornAtMs),
});

/** Only a serving server takes new requests; others refuse them, so that they run elsewhere. */
const applyState = (gate: SlotGate, server: Server): void => {
  if (server.state === ServerState.SERVING) gate.open();
  else gate.close();
};

/** Returns what a server announced, or the limit of its service if that is lower. */
const applyLimit = (announced: number, limit: number | undefined): number =>
  limit === undefined || limit === 0 ? announced : Math.min(announced, limit);

/**
 * The backend servers that announced themselves to this node, and the node record made of them.
 *
 * @example
 * const servers = new LocalServers({ nodeId: 'n1', dataCentre: 'a', incarnation: 1n });
 * servers.announce('desk-1', announcement, Date.now());
 */
export class LocalServers {
  readonly leaseMs: number;

  readonly #queuePerSlot: number | undefined;

  readonly #admissionPolicy: AdmissionPolicy | undefined;

  readonly #findService: (name: string) => Service | undefined;

  readonly #servers = new Map<string, LocalServer>();

  /** Gates of removed servers whose requests still run, so that their slots stay counted. */
  readonly #retiredGates = new Map<string, SlotGate>();

  /** One per address, so a late announcement does not bring an ended server back. */
  readonly #endedByAddress = new Map<string, EndedInstance>();

  readonly #listeners = new Set<RecordListener>();

  readonly #createLimiter: (slots: number) => ConcurrencyLimiter;

  #record: NodeRecord;

  constructor(options: LocalServersOptions) {
    this.#createLimiter = options.createLimiter ?? ((slots: number) => new AdaptiveLimiter(slots));
    this.leaseMs = options.leaseMs ?? DEFAULT_LEASE_MS;
    this.#queuePerSlot = options.queuePerSlot;
    this.#admissionPolicy = options.admissionPolicy;
    this.#findService = options.findService ?? (() => undefined);
    this.#record = create(NodeRecordSchema, {
      nodeId: options.nodeId,
      dataCentre: options.dataCentre,
      incarnation: options.incarnation,
      sequence: 1,
    });
  }

  /** Returns the present record of this node; a changed record is a new object. */
  record(): NodeRecord {
    return this.#record;
  }

  /** Calls the listener for each new record; returns the unsubscriber. */
  onChanged(listener: RecordListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Returns the server of that name, if it is announced. */
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
   * Sets the addresses that other nodes use.
   *
   * @param addresses - `host:port` of `forward_listen` and `peer_listen`
   */
  setAddresses(addresses: { forwardAddress: string; peerAddress: string }): void {
    this.#publish(addresses);
  }

  /**
   * Accepts or renews the announcement of a server.
   *
   * @param serverId - name of the server, unique on this node
   * @param announcement - checked announcement
   * @param nowMs - present time in milliseconds since the epoch
   * An announcement may arrive late: one of an earlier start at the address, or one with a lower
   * number than the last, changes nothing.
   *
   * @returns an error when the node drains or holds too many servers
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
      return err(
        new AnnouncementError(AnnouncementErrorCode.NodeDraining, 'the node beside is draining'),
      );
    }
    if (!known && this.#servers.size >= MAX_SERVERS) {
      const message = `the node holds ${MAX_SERVERS} servers already`;
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
   * Removes a server at once.
   *
   * @returns an error when no such server is announced
   */
  withdraw(serverId: string): Result<void, AnnouncementError> {
    const entry = this.#servers.get(serverId);
    if (entry) this.#recordEnded(entry.server);
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
   * @returns names of the removed servers
   */
  expire(nowMs: number): string[] {
    const expired = [...this.#servers]
      .filter(([, entry]) => entry.leaseEndsAtMs <= nowMs)
      .map(([serverId]) => serverId);
    expired.forEach((serverId) => {
      log.warn({ serverId, leaseMs: this.leaseMs }, 'server removed: announcement not renewed');
      this.#remove(serverId);
    });
    if (expired.length > 0) this.#publish();
    return expired;
  }

  /** Notes what a server says of itself. */
  recordHint(serverId: string, hint: LoadHint): void {
    const entry = this.#servers.get(serverId);
    if (entry) entry.hint = hint;
  }

  /** Marks the node as draining; no server beside it is chosen any more. */
  drain(): void {
    if (!this.isDraining) this.#publish({ draining: true });
  }

  #isOutdated(serverId: string, { address, bornAtMs, sequence }: Announcement): boolean {
    if (bornAtMs === undefined) return false;
    const ended = this.#endedByAddress.get(address);
    const isEnded = ended?.serverId === serverId && bornAtMs === ended.bornAtMs;
    if (ended && (isEnded || bornAtMs < ended.bornAtMs)) return true;
    const current = this.#findByAddress(address);
    if (!current) return false;
    const currentBornAtMs = Number(current.server.bornAtMs);
    if (bornAtMs !== currentBornAtMs) return bornAtMs < currentBornAtMs;
    return current.server.serverId === serverId && (sequence ?? 0) <= current.sequence;
  }

  #findByAddress(address: string): LocalServer | undefined {
    return this.list().find(({ server }) => server.address === address);
  }

  /** A later start at an address ends the server that was there, even under the same name. */
  #removePrevious(serverId: string, { address, bornAtMs }: Announcement): void {
    const previous = this.#findByAddress(address);
    if (!previous || bornAtMs === undefined) return;
    // A server that was found by a probe is held without the time of its start.
    const previousBornAtMs = Number(previous.server.bornAtMs) || bornAtMs;
    const isSameInstance = previous.server.serverId === serverId && previousBornAtMs === bornAtMs;
    if (isSameInstance) return;
    log.info(
      { serverId, formerServerId: previous.server.serverId, bornAtMs },
      'server started anew',
    );
    this.#recordEnded(previous.server);
    this.#remove(previous.server.serverId);
  }

  #recordEnded({ serverId, address, bornAtMs }: Server): void {
    if (bornAtMs > 0n) this.#endedByAddress.set(address, { serverId, bornAtMs: Number(bornAtMs) });
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
    });
  }

  #toServer(
    serverId: string,
    announcement: Announcement,
    previous: Server | undefined,
    nowMs: number,
  ): Server {
    const state = STATES[announcement.state];
    const keepsServing =
      previous?.state === ServerState.SERVING && previous.address === announcement.address;
    const servingSinceMs = keepsServing ? previous.servingSinceMs : BigInt(nowMs);
    // Read at each renewal, so that a new configuration takes effect within one lease.
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
