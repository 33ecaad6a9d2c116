import type { IncomingHttpHeaders } from 'node:http';
import { GRANT_UPDATE_HEADER, formatGrantUpdate, parseIds } from './internalHeaders.js';
import MAX_NODE_CONNECTIONS from './maxNodeConnections.js';

import type { UpstreamPools } from '../../connection/UpstreamPools/index.js';
import type { PendingGrantUpdate, GrantedSlotCache } from '../cacheGrantedSlots/index.js';

/** A slower renewal is useless: the renewed lease, which starts with the request, has expired. */
const UPDATE_TIMEOUT_MS = 1_000;

/** Renews granted slots, and returns them to the nodes that own them. */
export default class GrantClient {
  readonly #grantedSlots: GrantedSlotCache;

  readonly #pools: UpstreamPools;

  constructor(grantedSlots: GrantedSlotCache, pools: UpstreamPools) {
    this.#grantedSlots = grantedSlots;
    this.#pools = pools;
  }

  /**
   * Sends the renewals and returns that are due. Ignores failures, because every grant expires.
   *
   * @param nowMs - current time on a monotonic clock
   */
  maintain(nowMs: number): void {
    this.#grantedSlots.collectUpdates(nowMs).forEach((update) => this.#send(update, nowMs));
  }

  /**
   * Returns all granted slots to their owner nodes.
   *
   * @param nowMs - current time on a monotonic clock
   */
  async close(nowMs: number): Promise<void> {
    await Promise.all(this.#grantedSlots.clear().map((update) => this.#send(update, nowMs)));
  }

  async #send(
    { ownerAddress, renewed, returned }: PendingGrantUpdate,
    nowMs: number,
  ): Promise<void> {
    const ids = (slots: { id: string }[]): string[] => slots.map((slot) => slot.id);
    const update = formatGrantUpdate({ renewed: ids(renewed), returned: ids(returned) });
    const headers = await this.#post(ownerAddress, update);
    const answer = headers?.[GRANT_UPDATE_HEADER];
    this.#grantedSlots.applyRenewal(
      renewed,
      typeof answer === 'string' ? parseIds(answer) : [],
      nowMs,
    );
  }

  async #post(address: string, update: string): Promise<IncomingHttpHeaders | undefined> {
    try {
      const { headers, body } = await this.#pools.get(address, MAX_NODE_CONNECTIONS).request({
        method: 'POST',
        path: '/',
        headers: { [GRANT_UPDATE_HEADER]: update },
        signal: AbortSignal.timeout(UPDATE_TIMEOUT_MS),
      });
      await body.dump();
      return headers;
    } catch {
      return undefined;
    }
  }
}
