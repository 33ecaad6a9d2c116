import { rankHolders } from '../rankHolders/index.js';

import type { NodeRecord } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';

export interface RecordCompletenessOptions {
  nodeId: string;
  dataCentre: string;
  retentionMs: number;
  /** When this process started, in milliseconds since the epoch. */
  startedAtMs: number;
}

/**
 * Determines for which keys this node has the records of the whole retention window.
 *
 * An uptime of the retention window is not enough: a node that became a holder because others left
 * lacks their records. So the nodes that left within the window still count in the ranking.
 */
export class RecordCompleteness {
  readonly #options: RecordCompletenessOptions;

  /** Time at which each node was last seen, for nodes seen within the retention window. */
  readonly #lastSeenAtMs = new Map<string, number>();

  constructor(options: RecordCompletenessOptions) {
    this.#options = options;
  }

  /**
   * Records which nodes are present.
   *
   * @param records - records of all known nodes
   * @param nowMs - present time in milliseconds since the epoch
   */
  observe(records: readonly NodeRecord[], nowMs: number): void {
    const { dataCentre, retentionMs } = this.#options;
    records
      .filter((record) => record.dataCentre === dataCentre)
      .forEach((record) => this.#lastSeenAtMs.set(record.nodeId, nowMs));
    [...this.#lastSeenAtMs]
      .filter(([, seenMs]) => nowMs - seenMs > retentionMs)
      .forEach(([nodeId]) => this.#lastSeenAtMs.delete(nodeId));
  }

  /**
   * Returns whether this node would have a record of any earlier request with the key.
   *
   * @param key - key of a request
   * @param nowMs - present time in milliseconds since the epoch
   */
  isComplete(key: string, nowMs: number): boolean {
    const { nodeId, retentionMs, startedAtMs } = this.#options;
    if (nowMs - startedAtMs < retentionMs) return false;
    return rankHolders(key, [...this.#lastSeenAtMs.keys()]).includes(nodeId);
  }
}
