import type { NodeRecord } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';

/** Source of the content of the node record; the link sets its incarnation and sequence. */
export interface RecordSource {
  record: () => NodeRecord;
  /** Calls the listener after each change; returns a function that removes the listener. */
  onChanged: (listener: (record: NodeRecord) => void) => () => void;
}

/** Assigns incarnation and sequence to each state of the record of this node. */
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

  /** The newest state. */
  get current(): NodeRecord {
    return this.#current;
  }

  /** Marks the newest state as received by a control VM. */
  markAnnounced(): void {
    this.#isAnnounced = true;
  }

  /**
   * Returns the state to send on a new stream, newer than the one that any control VM received
   * before. Failed attempts reuse one state, because peers would gossip each new one.
   */
  prepareForAttach(): NodeRecord {
    return this.#isAnnounced ? this.renumber() : this.#current;
  }

  /** Assigns a new sequence to the current content, so that it supersedes earlier states. */
  renumber(): NodeRecord {
    this.#sequence += 1;
    this.#isAnnounced = false;
    const [incarnation, sequence] = [this.#incarnation, this.#sequence];
    this.#current = { ...this.#source.record(), incarnation, sequence };
    return this.#current;
  }

  /**
   * Raises the incarnation above the one that another process holds. That one is higher if the clock
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
