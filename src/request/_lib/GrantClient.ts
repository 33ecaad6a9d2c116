import type { IncomingHttpHeaders } from 'node:http';
import { GRANT_UPDATE_HEADER, formatGrantUpdate, parseIds } from './internalHeaders.js';
import MAX_NODE_CONNECTIONS from './maxNodeConnections.js';

import type { UpstreamPools } from '../../connection/UpstreamPools/index.js';
import type { PendingUpdate, GrantedSlotCache } from '../cacheGrantedSlots/index.js';

/** A slower renewal is useless: the renewed lease, which starts with the request, has expired. */
const UPDATE_TIMEOUT_MS = 1_000;

/** Renews granted slots and returns them to their owner nodes. */
export default class GrantClient {
  readonly #slots: GrantedSlotCache;

  readonly #pools: UpstreamPools;

  constructor(slots: GrantedSlotCache, pools: UpstreamPools) {
    this.#slots = slots;
    this.#pools = pools;
  }

  /**
   * Sends the renewals and returns that are due. Ignores failures, because every grant expires.
   *
   * @param nowMs - present time on a monotonic clock
   */
  maintain(nowMs: number): void {
    this.#slots.collectUpdates(nowMs).forEach((update) => this.#send(update, nowMs));
  }

  /**
   * Returns all granted slots to their owner nodes.
   *
   * @param nowMs - present time on a monotonic clock
   */
  async close(nowMs: number): Promise<void> {
    await Promise.all(this.#slots.clear().map((update) => this.#send(update, nowMs)));
  }

  async #send({ ownerAddress, renewed, returned }: PendingUpdate, nowMs: number): Promise<void> {
    const ids = (slots: { id: string }[]): string[] => slots.map((slot) => slot.id);
    const value = formatGrantUpdate({ renewed: ids(renewed), returned: ids(returned) });
    const headers = await this.#post(ownerAddress, value);
    const answer = headers?.[GRANT_UPDATE_HEADER];
    this.#slots.applyRenewal(renewed, typeof answer === 'string' ? parseIds(answer) : [], nowMs);
  }

  async #post(address: string, value: string): Promise<IncomingHttpHeaders | undefined> {
    try {
      const { headers, body } = await this.#pools.get(address, MAX_NODE_CONNECTIONS).request({
        method: 'POST',
        path: '/',
        headers: { [GRANT_UPDATE_HEADER]: value },
        signal: AbortSignal.timeout(UPDATE_TIMEOUT_MS),
      });
      await body.dump();
      return headers;
    } catch {
      return undefined;
    }
  }
}
