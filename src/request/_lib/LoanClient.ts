import type { IncomingHttpHeaders } from 'node:http';
import { LOANS_HEADER, formatLoans, parseIds } from './callHeader.js';
import MAX_NODE_CONNECTIONS from './nodeConnections.js';

import type { UpstreamPools } from '../../connection/UpstreamPools/index.js';
import type { LoanMessage, SlotBorrower } from '../borrowSlots/index.js';

/** A renewal that takes longer is useless. */
const LOAN_TIMEOUT_MS = 1_000;

/** Renews and returns borrowed slots with the nodes that lent them. */
export default class LoanClient {
  readonly #borrower: SlotBorrower;

  readonly #pools: UpstreamPools;

  constructor(borrower: SlotBorrower, pools: UpstreamPools) {
    this.#borrower = borrower;
    this.#pools = pools;
  }

  /**
   * Sends what is due; failures are ignored, because every grant ends by itself.
   *
   * @param nowMs - present time on a monotonic clock
   */
  maintain(nowMs: number): void {
    this.#borrower.collectMessages(nowMs).forEach((message) => this.#send(message, nowMs));
  }

  /** Returns all slots. */
  async close(nowMs: number): Promise<void> {
    await Promise.all(this.#borrower.clear().map((message) => this.#send(message, nowMs)));
  }

  async #send({ lenderAddress, renewed, returned }: LoanMessage, nowMs: number): Promise<void> {
    const ids = (slots: { id: string }[]): string[] => slots.map((slot) => slot.id);
    const loans = formatLoans({ renewed: ids(renewed), returned: ids(returned) });
    const headers = await this.#post(lenderAddress, loans);
    const answer = headers?.[LOANS_HEADER];
    this.#borrower.applyRenewal(renewed, typeof answer === 'string' ? parseIds(answer) : [], nowMs);
  }

  async #post(address: string, loans: string): Promise<IncomingHttpHeaders | undefined> {
    try {
      const { headers, body } = await this.#pools.get(address, MAX_NODE_CONNECTIONS).request({
        method: 'POST',
        path: '/',
        headers: { [LOANS_HEADER]: loans },
        signal: AbortSignal.timeout(LOAN_TIMEOUT_MS),
      });
      await body.dump();
      return headers;
    } catch {
      return undefined;
    }
  }
}
