/** Directory of the node records known to this process, with the backend servers of each node. */
import { compareStamps } from '../_lib/compareStamps.js';

import type { NodeRecord } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';
import type { Stamp } from '../_lib/compareStamps.js';
import type { ServerEntry } from '../types.js';

/** Default lease: a record that is not renewed within this time expires. */
export const ENDPOINT_LEASE_MS = 3_000;

/**
 * How long the stamp of a removed record is kept. Must exceed the time for which another process can
 * still send the removed record.
 */
const TOMBSTONE_MS = 60_000;

export interface EndpointDirectoryOptions {
  /** Time after which a record that is not renewed expires; `ENDPOINT_LEASE_MS` by default. */
  leaseMs?: number;
  /** Id of the node that runs in this process; its record never expires. */
  ownNodeId?: string;
}

/** Called with the id of a node whose record was added, replaced or removed. */
export type EndpointListener = (nodeId: string) => void;

interface LeasedRecord {
  record: NodeRecord;
  expiresAtMs: number;
}

interface Tombstone {
  stamp: Stamp;
  keptUntilMs: number;
}

/** Keeps the newest record of each node, ordered by (incarnation, sequence). */
export class EndpointDirectory {
  readonly #leaseMs: number;

  readonly #ownNodeId: string | undefined;

  readonly #leasedRecords = new Map<string, LeasedRecord>();

  readonly #tombstones = new Map<string, Tombstone>();

  readonly #nodesByService = new Map<string, Set<string>>();

  /** Cache of `serversOf`, invalidated when a record with a server of the service changes. */
  readonly #cachedEntries = new Map<string, ServerEntry[]>();

  readonly #listeners = new Set<EndpointListener>();

  #revision = 0;

  constructor(options: EndpointDirectoryOptions = {}) {
    this.#leaseMs = options.leaseMs ?? ENDPOINT_LEASE_MS;
    this.#ownNodeId = options.ownNodeId;
  }

  /** Number of changes so far; the content is unchanged while the revision is. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Stores a record that is newer than the stored one; renews the lease when both are equal.
   *
   * @param record - must not be modified after the call
   * @param nowMs - present time in milliseconds since the epoch
   * @returns true when the directory changed
   */
  merge(record: NodeRecord, nowMs: number): boolean {
    const { nodeId } = record;
    const tombstone = this.#tombstones.get(nodeId);
    if (tombstone !== undefined && compareStamps(record, tombstone.stamp) <= 0) return false;
    const stored = this.#leasedRecords.get(nodeId);
    const order = stored === undefined ? 1 : compareStamps(record, stored.record);
    if (order < 0) return false;
    if (order === 0) {
      this.renew(nodeId, nowMs);
      return false;
    }
    this.#tombstones.delete(nodeId);
    this.#leasedRecords.set(nodeId, { record, expiresAtMs: nowMs + this.#leaseMs });
    this.#updateIndex(nodeId, stored?.record, record);
    return true;
  }

  /**
   * Extends the lease of a record.
   *
   * @returns false when the directory has no record of the node
   */
  renew(nodeId: string, nowMs: number): boolean {
    const stored = this.#leasedRecords.get(nodeId);
    if (stored === undefined) return false;
    stored.expiresAtMs = Math.max(stored.expiresAtMs, nowMs + this.#leaseMs);
    return true;
  }

  /** Extends the lease of every record, for example after a period without renewals. */
  renewAll(nowMs: number): void {
    this.#leasedRecords.forEach((_, nodeId) => this.renew(nodeId, nowMs));
  }

  /**
   * Removes the records whose lease has expired.
   *
   * @returns the removed records
   */
  expire(nowMs: number): NodeRecord[] {
    this.#tombstones.forEach((tombstone, nodeId) => {
      if (tombstone.keptUntilMs <= nowMs) this.#tombstones.delete(nodeId);
    });
    const expired = [...this.#leasedRecords.values()]
      .filter((stored) => stored.expiresAtMs <= nowMs)
      .map((stored) => stored.record)
      .filter((record) => record.nodeId !== this.#ownNodeId);
    expired.forEach((record) => this.remove(record.nodeId, record, nowMs));
    return expired;
  }

  /**
   * Removes the record of a node unless the stored one is newer than the stamp. Records up to the
   * stamp are rejected afterwards.
   *
   * @param nodeId - id of the node
   * @param stamp - stamp of the newest record that is removed
   * @param nowMs - present time in milliseconds since the epoch
   * @returns true when the directory changed
   */
  remove(nodeId: string, stamp: Stamp, nowMs: number): boolean {
    if (nodeId === this.#ownNodeId) return false;
    const stored = this.#leasedRecords.get(nodeId);
    if (stored !== undefined && compareStamps(stored.record, stamp) > 0) return false;
    this.#addTombstone(nodeId, stamp, nowMs);
    if (stored === undefined) return false;
    this.#leasedRecords.delete(nodeId);
    this.#updateIndex(nodeId, stored.record, undefined);
    return true;
  }

  /** Returns the record of one node. */
  find(nodeId: string): NodeRecord | undefined {
    return this.#leasedRecords.get(nodeId)?.record;
  }

  /** Returns the stamp of the removed record of a node, while it is kept. */
  findRemovedStamp(nodeId: string): Stamp | undefined {
    return this.#tombstones.get(nodeId)?.stamp;
  }

  /** Returns all records. */
  records(): NodeRecord[] {
    return [...this.#leasedRecords.values()].map((stored) => stored.record);
  }

  /**
   * Returns the servers of a service with the records of their nodes, in any state, including
   * draining.
   *
   * The array is cached until a record of the service changes and must not be modified.
   */
  serversOf(service: string): readonly ServerEntry[] {
    const cached = this.#cachedEntries.get(service);
    if (cached !== undefined) return cached;
    const nodeIds = this.#nodesByService.get(service);
    if (nodeIds === undefined) return [];
    const entries = [...nodeIds].flatMap((nodeId) => this.#listServersOfNode(nodeId, service));
    this.#cachedEntries.set(service, entries);
    return entries;
  }

  /**
   * Calls the listener after each change.
   *
   * @returns a function that removes the listener
   */
  onChanged(listener: EndpointListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #listServersOfNode(nodeId: string, service: string): ServerEntry[] {
    const node = this.find(nodeId);
    if (node === undefined) return [];
    return node.servers
      .filter((server) => server.service === service)
      .map((server) => ({ server, node }));
  }

  #addTombstone(nodeId: string, stamp: Stamp, nowMs: number): void {
    const previous = this.#tombstones.get(nodeId);
    if (previous !== undefined && compareStamps(previous.stamp, stamp) > 0) return;
    const { incarnation, sequence } = stamp;
    const keptUntilMs = nowMs + TOMBSTONE_MS;
    this.#tombstones.set(nodeId, { stamp: { incarnation, sequence }, keptUntilMs });
  }

  #updateIndex(
    nodeId: string,
    previous: NodeRecord | undefined,
    next: NodeRecord | undefined,
  ): void {
    const previousServices = new Set(previous?.servers.map((server) => server.service));
    const nextServices = new Set(next?.servers.map((server) => server.service));
    previousServices.forEach((service) => {
      if (!nextServices.has(service)) this.#removeFromIndex(nodeId, service);
      this.#cachedEntries.delete(service);
    });
    nextServices.forEach((service) => {
      const nodeIds = this.#nodesByService.get(service) ?? new Set();
      this.#nodesByService.set(service, nodeIds.add(nodeId));
      this.#cachedEntries.delete(service);
    });
    this.#revision += 1;
    this.#listeners.forEach((listener) => listener(nodeId));
  }

  #removeFromIndex(nodeId: string, service: string): void {
    const nodeIds = this.#nodesByService.get(service);
    nodeIds?.delete(nodeId);
    if (nodeIds?.size === 0) this.#nodesByService.delete(service);
  }
}
