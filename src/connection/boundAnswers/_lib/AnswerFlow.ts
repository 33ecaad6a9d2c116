import type AnswerBounds from '../index.js';
import type { AnswerEntry } from './AnswerLedger/index.js';

/** One answer in the account of its node. */
export default class AnswerFlow {
  readonly #bounds: AnswerBounds;

  readonly #entry: AnswerEntry;

  constructor(bounds: AnswerBounds, entry: AnswerEntry) {
    this.#bounds = bounds;
    this.#entry = entry;
  }

  /**
   * Records a part of the answer that was written.
   *
   * @param sentBytes - length of the part
   * @returns false if the upstream must be paused until `onceRoom` calls back
   */
  record(sentBytes: number): boolean {
    return this.#bounds.record(this.#entry, sentBytes, performance.now());
  }

  /** Calls back once the answer may be sent on; not called if it is broken off before. */
  onceRoom(onRoom: () => void): void {
    this.#bounds.onceRoom(this.#entry, onRoom);
  }
}
