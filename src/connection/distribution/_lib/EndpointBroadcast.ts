import { create, toBinary } from '@bufbuild/protobuf';

import {
  EndpointDeltaSchema,
  RecordStampSchema,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';

import type { EndpointDelta } from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import type { EndpointDirectory } from '../../../process/endpoints/EndpointDirectory/index.js';

export interface EndpointBroadcastOptions {
  /** Time for which changes are collected into one batch. */
  windowMs: number;
  /** Number of batches retained for nodes that are behind. */
  retainedBatches: number;
  /** Identifies this control process; revisions of different epochs are not comparable. */
  epoch: string;
  /** Called after each batch. */
  onBatch: () => void;
}

/** Batches directory changes by time window and encodes each batch once for all nodes. */
export class EndpointBroadcast {
  readonly #directory: EndpointDirectory;

  readonly #options: EndpointBroadcastOptions;

  readonly #changedNodeIds = new Set<string>();

  readonly #batches = new Map<number, Uint8Array>();

  readonly #unsubscribe: () => void;

  #fullDelta: { revision: number; bytes: Uint8Array } | undefined;

  #timer: NodeJS.Timeout | undefined;

  #revision = 0;

  constructor(directory: EndpointDirectory, options: EndpointBroadcastOptions) {
    this.#directory = directory;
    this.#options = options;
    this.#unsubscribe = directory.onChanged((nodeId) => this.#addChange(nodeId));
  }

  /** Identifies this control process. */
  get epoch(): string {
    return this.#options.epoch;
  }

  /** Number of batches so far. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Returns the encoded deltas that a node lacks: the missing batches, or one full delta when they
   * are no longer retained. The buffers are shared by all nodes.
   *
   * @param epoch - epoch of the last delta that the node received
   * @param revision - revision of that delta
   */
  encodeSince(epoch: string, revision: number): Uint8Array[] {
    const missing = this.#revision - revision;
    const isKnown = epoch === this.#options.epoch && missing >= 0;
    if (!isKnown) return [this.#encodeFull()];
    const numbers = Array.from({ length: missing }, (_, index) => revision + 1 + index);
    const batches = numbers.flatMap((number) => this.#batches.get(number) ?? []);
    return batches.length === missing ? batches : [this.#encodeFull()];
  }

  /** Stops collecting changes. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#unsubscribe();
  }

  #addChange(nodeId: string): void {
    this.#changedNodeIds.add(nodeId);
    this.#timer ??= setTimeout(() => this.#flush(), this.#options.windowMs);
  }

  #flush(): void {
    this.#timer = undefined;
    this.#revision += 1;
    const delta = this.#createDelta([...this.#changedNodeIds]);
    this.#changedNodeIds.clear();
    this.#batches.set(this.#revision, toBinary(EndpointDeltaSchema, delta));
    this.#batches.delete(this.#revision - this.#options.retainedBatches);
    this.#options.onBatch();
  }

  #createDelta(nodeIds: string[]): EndpointDelta {
    const removed = nodeIds.flatMap((nodeId) => {
      const stamp = this.#directory.findRemovedStamp(nodeId);
      if (this.#directory.find(nodeId) !== undefined || stamp === undefined) return [];
      return [create(RecordStampSchema, { nodeId, ...stamp })];
    });
    return create(EndpointDeltaSchema, {
      epoch: this.#options.epoch,
      revision: this.#revision,
      upserted: nodeIds.flatMap((nodeId) => this.#directory.find(nodeId) ?? []),
      removed,
    });
  }

  // A full delta may include changes of the open window; repeating them in its batch has no effect.
  #encodeFull(): Uint8Array {
    if (this.#fullDelta?.revision === this.#revision) return this.#fullDelta.bytes;
    const delta = create(EndpointDeltaSchema, {
      epoch: this.#options.epoch,
      revision: this.#revision,
      isFull: true,
      upserted: this.#directory.records(),
    });
    const bytes = toBinary(EndpointDeltaSchema, delta);
    this.#fullDelta = { revision: this.#revision, bytes };
    return bytes;
  }
}
