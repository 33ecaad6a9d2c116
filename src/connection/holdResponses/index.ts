/** Bounds on the responses that a node holds until their upstream has ended them. */
import HeldSpace from './_lib/HeldSpace.js';

import type { Counter, MetricsRegistry } from '../../process/metrics/index.js';

export type { HeldSpace };

/** Covers answers of services to their callers; files and streams are longer, and sent on as they arrive. */
const MAX_RESPONSE_BYTES = 1_048_576;
/** Far below the memory of a node on the smallest VM, 250 MB, with a copy of each that is being written. */
const MAX_TOTAL_BYTES = 16 * 1_048_576;

export interface ResponseHolderOptions {
  metrics: MetricsRegistry;
  /** Bound on the bytes of one response. */
  maxResponseBytes?: number;
  /** Bound on the bytes of all responses together. */
  maxTotalBytes?: number;
}

/**
 * Bounds the memory of held responses. A response without a length ends with its connection, so a
 * part of it looks whole to its caller if the process ends meanwhile. It is held until it is complete.
 */
export default class ResponseHolder {
  readonly #maxResponseBytes: number;

  readonly #maxTotalBytes: number;

  readonly #held: Counter;

  readonly #beyondBound: Counter;

  #totalBytes = 0;

  constructor(options: ResponseHolderOptions) {
    const { metrics } = options;
    this.#maxResponseBytes = options.maxResponseBytes ?? MAX_RESPONSE_BYTES;
    this.#maxTotalBytes = options.maxTotalBytes ?? MAX_TOTAL_BYTES;
    this.#held = metrics.counter('responses_held');
    this.#beyondBound = metrics.counter('held_responses_beyond_bound');
    metrics.gauge('held_response_bytes', () => this.#totalBytes);
  }

  /** Starts to hold a response. */
  open(): HeldSpace {
    this.#held.value += 1;
    return new HeldSpace(this);
  }

  /**
   * Takes space; counts a response that gets none.
   *
   * @param sizeBytes - space needed
   * @param responseBytes - space that the response has already
   * @returns whether both bounds allow it
   */
  take(sizeBytes: number, responseBytes: number): boolean {
    const isWithin =
      responseBytes + sizeBytes <= this.#maxResponseBytes &&
      this.#totalBytes + sizeBytes <= this.#maxTotalBytes;
    if (isWithin) this.#totalBytes += sizeBytes;
    else this.#beyondBound.value += 1;
    return isWithin;
  }

  giveBack(sizeBytes: number): void {
    this.#totalBytes -= sizeBytes;
  }
}
