import { err } from 'neverthrow';

import type { Result } from 'neverthrow';
import { CallError, CallErrorCode } from '../../connection/CallError/index.js';

import type { CallSummary, UpstreamCallOptions } from '../../connection/UpstreamCall/index.js';
import type { UpstreamPools } from '../../connection/UpstreamPools/index.js';
import type { GateRefusal, LocalServer, SlotDemand } from '../../process/localServers/index.js';
import type { Exchange } from './Exchange.js';

/** Calls the backend servers beside this node, each within its slots. */
export default class LocalCaller {
  readonly #pools: UpstreamPools;

  readonly #getNowMs: () => number;

  constructor(pools: UpstreamPools, getNowMs: () => number) {
    this.#pools = pools;
    this.#getNowMs = getNowMs;
  }

  /**
   * Takes a slot, calls the server and gives the slot back when the server is done.
   *
   * @param exchange - request and response
   * @param local - server beside this node
   * @param demand - deadline and priority
   * @param target - path and headers for the server
   * @param options - handling of the response head
   */
  async call(
    exchange: Exchange,
    local: LocalServer,
    demand: SlotDemand,
    target: { path: string; headers: string[] },
    options: Omit<UpstreamCallOptions, 'isNode'> = {},
  ): Promise<Result<CallSummary, CallError>> {
    const refusal = await this.#takeSlot(exchange, local, demand);
    if (refusal !== undefined) {
      const code = exchange.isOver ? CallErrorCode.Cancelled : CallErrorCode.Refused;
      return err(new CallError(code, refusal, { isWritten: false }));
    }
    const { server, gate } = local;
    const pool = this.#pools.get(server.address, server.connections);
    const result = await exchange.call(pool, target, { ...options, isNode: false });
    gate.release(this.#getNowMs());
    return result;
  }

  /** Resolves with the reason if no slot was taken. */
  #takeSlot(
    exchange: Exchange,
    local: LocalServer,
    demand: SlotDemand,
  ): Promise<GateRefusal | 'GIVEN_UP' | undefined> {
    return new Promise((resolve) => {
      let unsubscribe = () => {};
      const withdraw = local.gate.admit(demand, this.#getNowMs(), (refusal) => {
        unsubscribe();
        resolve(refusal);
      });
      unsubscribe = exchange.onGivenUp(() => {
        withdraw();
        resolve('GIVEN_UP');
      });
    });
  }
}
