import { rankHolders } from '../rankHolders/index.js';

import type { NodeRecord } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';

export interface HolderWarmthOptions {
  nodeId: string;
  dataCentre: string;
  retentionMs: number;
  /** When this process started, in milliseconds since the epoch. */
  startedAtMs: number;
}

/**
 * Tells for which keys this node would know of an earlier request.
 *
 * Being up for the retention window is not enough: a node that became a holder only because others
 * left lacks their records. So the nodes that left within the window still count in the ranking.
 */
export class HolderWarmth {
  readonly #options: HolderWarmthOptions;

  /** Nodes seen within the retention window, with the time they were seen last. */
  readonly #lastSeenAtMs = new Map<string, number>();

  constructor(options: HolderWarmthOptions) {
    this.#options = options;
  }

  /**
   * Notes which nodes are there now.
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
   * @param key - key of a request
   * @param nowMs - present time in milliseconds since the epoch
   */
  isWarm(key: string, nowMs: number): boolean {
    const { nodeId, retentionMs, startedAtMs } = this.#options;
    if (nowMs - startedAtMs < retentionMs) return false;
    return rankHolders(key, [...this.#lastSeenAtMs.keys()]).includes(nodeId);
  }
}
