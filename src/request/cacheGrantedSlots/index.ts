/** Slots of remote servers that their owner nodes granted to this node. */
import { GRANT_LEASE_MS, GRANT_MAX_CALL_MS } from '../grantSlots/index.js';

/** A grant in use is renewed when less than this remains of its lease. */
const RENEWAL_MARGIN_MS = 600;

/** A slot that another node granted to this node. */
export interface GrantedSlot {
  readonly id: string;
  /** Key of the server, unique among all nodes. */
  readonly key: string;
  /** `host:port` of `forward_listen` of the node that granted the slot. */
  readonly ownerAddress: string;
  /** Time after which no call may start; monotonic clock. */
  leaseEndsAtMs: number;
  isInUse: boolean;
  wasUsed: boolean;
  isRenewing: boolean;
}

/** Renewals and returns that are sent to one owner node in a single message. */
export interface PendingUpdate {
  ownerAddress: string;
  renewed: GrantedSlot[];
  returned: GrantedSlot[];
}

export class GrantedSlotCache {
  readonly #byKey = new Map<string, GrantedSlot[]>();

  /**
   * Adds a grant that was received with a response.
   *
   * @param grant - id, server and owner node
   * @param requestedAtMs - when the request was sent, before the owner node starts the lease
   */
  add(grant: Pick<GrantedSlot, 'id' | 'key' | 'ownerAddress'>, requestedAtMs: number): void {
    const slots = this.#byKey.get(grant.key) ?? [];
    slots.push({
      ...grant,
      leaseEndsAtMs: requestedAtMs + GRANT_LEASE_MS,
      isInUse: false,
      wasUsed: true,
      isRenewing: false,
    });
    this.#byKey.set(grant.key, slots);
  }

  /** Returns whether a granted slot of the server is idle, so that a direct call can be made. */
  hasIdleSlot(key: string, nowMs: number): boolean {
    const slots = this.#byKey.get(key);
    return slots !== undefined && slots.some((slot) => !slot.isInUse && nowMs < slot.leaseEndsAtMs);
  }

  /**
   * Acquires a granted slot for one call.
   *
   * @param key - key of the server
   * @param remainingMs - time until the deadline of the call
   * @param nowMs - present time on a monotonic clock
   * @returns the slot; undefined when none is idle or the deadline is too far away
   */
  acquire(key: string, remainingMs: number, nowMs: number): GrantedSlot | undefined {
    if (remainingMs > GRANT_MAX_CALL_MS) return undefined;
    const found = this.#byKey.get(key)?.find((slot) => !slot.isInUse && nowMs < slot.leaseEndsAtMs);
    if (!found) return undefined;
    found.isInUse = true;
    found.wasUsed = true;
    return found;
  }

  /** Releases a slot when its call has ended. */
  release(slot: GrantedSlot): void {
    const released = slot;
    released.isInUse = false;
  }

  /**
   * Collects the slots whose lease needs renewal, and removes those whose lease has expired.
   *
   * @param nowMs - present time on a monotonic clock
   * @returns one update per owner node with slots to renew or to return
   */
  collectUpdates(nowMs: number): PendingUpdate[] {
    const updates = new Map<string, PendingUpdate>();
    const updateFor = (slot: GrantedSlot): PendingUpdate => {
      const { ownerAddress } = slot;
      const known = updates.get(ownerAddress);
      const update = known ?? { ownerAddress, renewed: [], returned: [] };
      updates.set(ownerAddress, update);
      return update;
    };
    [...this.#byKey].forEach(([key, slots]) => {
      const kept = slots.filter((slot) => slot.isInUse || nowMs < slot.leaseEndsAtMs);
      slots
        .filter((slot) => !kept.includes(slot))
        .forEach((slot) => updateFor(slot).returned.push(slot));
      kept
        .filter((slot) => this.#needsRenewal(slot, nowMs))
        .forEach((slot) => updateFor(slot).renewed.push(slot));
      if (kept.length === 0) this.#byKey.delete(key);
      else this.#byKey.set(key, kept);
    });
    return [...updates.values()];
  }

  /**
   * Applies the response to a renewal.
   *
   * @param slots - slots whose renewal was requested
   * @param renewedIds - ids of the slots that the owner node renewed
   * @param requestedAtMs - when the renewal was sent
   */
  applyRenewal(slots: GrantedSlot[], renewedIds: string[], requestedAtMs: number): void {
    slots.forEach((slot) => {
      const target = slot;
      target.isRenewing = false;
      if (!renewedIds.includes(slot.id)) return;
      target.leaseEndsAtMs = requestedAtMs + GRANT_LEASE_MS;
      target.wasUsed = slot.isInUse;
    });
  }

  /** Removes all idle slots, for shutdown, and returns the updates to send to their owner nodes. */
  clear(): PendingUpdate[] {
    return this.collectUpdates(Infinity);
  }

  #needsRenewal(slot: GrantedSlot, nowMs: number): boolean {
    const target = slot;
    const isDue = slot.leaseEndsAtMs - nowMs < RENEWAL_MARGIN_MS && nowMs < slot.leaseEndsAtMs;
    if (!isDue || slot.isRenewing || !(slot.wasUsed || slot.isInUse)) return false;
    target.isRenewing = true;
    return true;
  }
}
