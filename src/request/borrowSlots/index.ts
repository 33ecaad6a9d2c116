/** Slots of remote servers that their nodes lent to this node. */
import { GRANT_LEASE_MS, GRANT_MAX_CALL_MS } from '../lendSlots/index.js';

/** A grant in use is renewed when less than this remains of its lease. */
const RENEWAL_MARGIN_MS = 600;

/** A slot that another node granted to this node. */
export interface BorrowedSlot {
  readonly id: string;
  /** Key of the server, unique among all nodes. */
  readonly key: string;
  /** `host:port` of the lender's `forward_listen`. */
  readonly lenderAddress: string;
  /** Time after which no call may start; monotonic clock. */
  leaseEndsAtMs: number;
  isInUse: boolean;
  wasUsed: boolean;
  isRenewing: boolean;
}

/** Renewals and returns that are sent to one lender in a single message. */
export interface LoanMessage {
  lenderAddress: string;
  renewed: BorrowedSlot[];
  returned: BorrowedSlot[];
}

export class SlotBorrower {
  readonly #byKey = new Map<string, BorrowedSlot[]>();

  /**
   * Adds a grant that was received with a response.
   *
   * @param grant - id, server and lender
   * @param requestedAtMs - when the request was sent, which is before the lender starts the lease
   */
  add(grant: Pick<BorrowedSlot, 'id' | 'key' | 'lenderAddress'>, requestedAtMs: number): void {
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

  /** Returns whether a borrowed slot of the server is idle, so that a direct call can be made. */
  hasIdleSlot(key: string, nowMs: number): boolean {
    const slots = this.#byKey.get(key);
    return slots !== undefined && slots.some((slot) => !slot.isInUse && nowMs < slot.leaseEndsAtMs);
  }

  /**
   * Acquires a borrowed slot for one call.
   *
   * @param key - key of the server
   * @param remainingMs - time until the deadline of the call
   * @param nowMs - present time on a monotonic clock
   * @returns the slot; undefined when none is idle or the deadline is too far away
   */
  acquire(key: string, remainingMs: number, nowMs: number): BorrowedSlot | undefined {
    if (remainingMs > GRANT_MAX_CALL_MS) return undefined;
    const found = this.#byKey.get(key)?.find((slot) => !slot.isInUse && nowMs < slot.leaseEndsAtMs);
    if (!found) return undefined;
    found.isInUse = true;
    found.wasUsed = true;
    return found;
  }

  /** Releases a slot when its call has ended. */
  release(slot: BorrowedSlot): void {
    const released = slot;
    released.isInUse = false;
  }

  /**
   * Collects the slots whose lease needs renewal, and removes those whose lease has expired.
   *
   * @param nowMs - present time on a monotonic clock
   * @returns one message per lender with slots to renew or to return
   */
  collectMessages(nowMs: number): LoanMessage[] {
    const messages = new Map<string, LoanMessage>();
    const messageFor = (slot: BorrowedSlot): LoanMessage => {
      const { lenderAddress } = slot;
      const known = messages.get(lenderAddress);
      const message = known ?? { lenderAddress, renewed: [], returned: [] };
      messages.set(lenderAddress, message);
      return message;
    };
    [...this.#byKey].forEach(([key, slots]) => {
      const kept = slots.filter((slot) => slot.isInUse || nowMs < slot.leaseEndsAtMs);
      slots
        .filter((slot) => !kept.includes(slot))
        .forEach((slot) => messageFor(slot).returned.push(slot));
      kept
        .filter((slot) => this.#needsRenewal(slot, nowMs))
        .forEach((slot) => messageFor(slot).renewed.push(slot));
      if (kept.length === 0) this.#byKey.delete(key);
      else this.#byKey.set(key, kept);
    });
    return [...messages.values()];
  }

  /**
   * Applies the response to a renewal.
   *
   * @param slots - slots whose renewal was requested
   * @param renewedIds - ids of the slots that the lender renewed
   * @param requestedAtMs - when the renewal was sent
   */
  applyRenewal(slots: BorrowedSlot[], renewedIds: string[], requestedAtMs: number): void {
    slots.forEach((slot) => {
      const target = slot;
      target.isRenewing = false;
      if (!renewedIds.includes(slot.id)) return;
      target.leaseEndsAtMs = requestedAtMs + GRANT_LEASE_MS;
      target.wasUsed = slot.isInUse;
    });
  }

  /** Removes all idle slots and returns the messages that give them back, for shutdown. */
  clear(): LoanMessage[] {
    return this.collectMessages(Infinity);
  }

  #needsRenewal(slot: BorrowedSlot, nowMs: number): boolean {
    const target = slot;
    const isDue = slot.leaseEndsAtMs - nowMs < RENEWAL_MARGIN_MS && nowMs < slot.leaseEndsAtMs;
    if (!isDue || slot.isRenewing || !(slot.wasUsed || slot.isInUse)) return false;
    target.isRenewing = true;
    return true;
  }
}
