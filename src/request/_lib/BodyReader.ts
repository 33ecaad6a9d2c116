import type { CrashLedger } from '../trackCrashes/index.js';
import type { BodyState, Exchange } from './Exchange.js';

/**
 * Bodies that are held at a time, with at most some 200 KB each: the bytes that identify them, and what
 * the buffers of a stream take beyond. Further bodies are passed on as they arrive.
 */
const MAX_HELD_BODIES = 128;

/** Reads request bodies; holds a streamed one where its bytes decide whether the request is refused. */
export default class BodyReader {
  readonly #ledger: CrashLedger;

  #heldCount = 0;

  constructor(ledger: CrashLedger) {
    this.#ledger = ledger;
  }

  /**
   * Buffers a small body; prepares a larger or chunked one for streaming.
   *
   * @param exchange - request and response
   * @param path - path with query
   * @param callerService - service on the VM of the entry node; empty when there is none
   */
  async read(exchange: Exchange, path: string, callerService: string): Promise<BodyState> {
    const isHeld =
      exchange.hasStreamedBody &&
      this.#heldCount < MAX_HELD_BODIES &&
      !this.#ledger.isEmpty &&
      this.#ledger.isSuspected(exchange.computeFingerprints(path, callerService));
    if (!isHeld) return exchange.readBody();
    this.#heldCount += 1;
    exchange.onClosed(() => {
      this.#heldCount -= 1;
    });
    return exchange.readBody({ isHeld });
  }
}
