/** Slots that this node borrowed from the nodes beside servers. */
import { GRANT_MAX_CALL_MS, GRANT_LEASE_MS } from '../lendSlots/index.js';

/** A used grant is renewed when its lease has less than this left. */
const RENEWAL_MARGIN_MS = 600;

/** One borrowed slot. */
export interface BorrowedSlot {
  readonly id: string;
  /** Name of the server, unique among all nodes. */
  readonly key: string;
  /** `host:port` of `forward_listen` of the lender. */
  readonly lenderAddress: string;
  /** No call may start later; monotonic clock. */
  leaseEndsAtMs: number;
  isInUse: boolean;
  wasUsed: boolean;
  isRenewing: boolean;
}

/** What a lender is told at once. */
export interface LoanMessage {
  lenderAddress: string;
  renewed: BorrowedSlot[];
  returned: BorrowedSlot[];
}

export class SlotBorrower {
  readonly #byKey = new Map<string, BorrowedSlot[]>();

  /**
   * Notes a grant that came with a response.
   *
   * @param grant - id, server and lender
   * @param askedAtMs - when the request was sent; the lender counts from a later time
   */
  add(grant: Pick<BorrowedSlot, 'id' | 'key' | 'lenderAddress'>, askedAtMs: number): void {
    const slots = this.#byKey.get(grant.key) ?? [];
    slots.push({
      ...grant,
      leaseEndsAtMs: askedAtMs + GRANT_LEASE_MS,
      isInUse: false,
      wasUsed: true,
      isRenewing: false,
    });
    this.#byKey.set(grant.key, slots);
  }

  /** Tells whether a call to the server could be made directly now. */
  hasIdleSlot(key: string, nowMs: number): boolean {
    const slots = this.#byKey.get(key);
    return slots !== undefined && slots.some((slot) => !slot.isInUse && nowMs < slot.leaseEndsAtMs);
  }

  /**
   * Takes a borrowed slot for one call.
   *
   * @param key - name of the server
   * @param remainingMs - time within which the call ends in any case
   * @param nowMs - present time on a monotonic clock
   */
  acquire(key: string, remainingMs: number, nowMs: number): BorrowedSlot | undefined {
    if (remainingMs > GRANT_MAX_CALL_MS) return undefined;
    const found = this.#byKey.get(key)?.find((slot) => !slot.isInUse && nowMs < slot.leaseEndsAtMs);
    if (!found) return undefined;
    found.isInUse = true;
    found.wasUsed = true;
    return found;
  }

  /** Ends the call that a slot was taken for. */
  release(slot: BorrowedSlot): void {
    const released = slot;
    released.isInUse = false;
  }

  /**
   * Chooses the slots to renew and removes those to return.
   *
   * @param nowMs - present time on a monotonic clock
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
   * Notes the answer to a renewal.
   *
   * @param slots - slots that were to be renewed
   * @param renewedIds - those that the lender renewed
   * @param askedAtMs - when the renewal was sent
   */
  applyRenewal(slots: BorrowedSlot[], renewedIds: string[], askedAtMs: number): void {
    slots.forEach((slot) => {
      const target = slot;
      target.isRenewing = false;
      if (!renewedIds.includes(slot.id)) return;
      target.leaseEndsAtMs = askedAtMs + GRANT_LEASE_MS;
      target.wasUsed = slot.isInUse;
    });
  }

  /** Removes all slots that are not in use, to return them at shutdown. */
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
