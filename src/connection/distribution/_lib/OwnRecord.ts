import type { NodeRecord } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';

/** Where a node reads what it announces; the state of the record is set by the link. */
export interface RecordSource {
  record: () => NodeRecord;
  /** Calls the listener after each change; returns the unsubscriber. */
  onChanged: (listener: (record: NodeRecord) => void) => () => void;
}

/** Numbers the states of the record of this node. */
export class OwnRecord {
  readonly #source: RecordSource;

  #incarnation: bigint;

  #sequence = 0;

  #isAnnounced = false;

  #current: NodeRecord;

  constructor(source: RecordSource) {
    this.#source = source;
    this.#incarnation = source.record().incarnation;
    this.#current = this.renumber();
  }

  /** The newest numbered state. */
  get current(): NodeRecord {
    return this.#current;
  }

  /** Notes that a control VM has received the newest state. */
  noteAnnounced(): void {
    this.#isAnnounced = true;
  }

  /**
   * Returns the state for a new attachment: newer than that of any earlier attachment, wherever it
   * was. Attempts that reach nobody share one state, or each would spread among the peers.
   */
  numberForAttach(): NodeRecord {
    return this.#isAnnounced ? this.renumber() : this.#current;
  }

  /** Gives the present content a new number, so that it supersedes what others hold. */
  renumber(): NodeRecord {
    this.#sequence += 1;
    this.#isAnnounced = false;
    const [incarnation, sequence] = [this.#incarnation, this.#sequence];
    this.#current = { ...this.#source.record(), incarnation, sequence };
    return this.#current;
  }

  /**
   * Raises the incarnation above one that another process recorded. This is needed after the clock
   * of this VM was set back between two starts.
   */
  supersede(recordedIncarnation: bigint): NodeRecord {
    if (recordedIncarnation >= this.#incarnation) {
      this.#incarnation = recordedIncarnation + 1n;
      this.#sequence = 0;
    }
    return this.renumber();
  }
}
