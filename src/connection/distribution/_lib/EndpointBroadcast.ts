import { create, toBinary } from '@bufbuild/protobuf';

import {
  EndpointDeltaSchema,
  RecordStampSchema,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';

import type { EndpointDelta } from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import type { EndpointDirectory } from '../../../process/endpoints/EndpointDirectory/index.js';

export interface EndpointBroadcastOptions {
  /** Time in which changes are collected. */
  windowMs: number;
  /** Batches kept for nodes that are behind. */
  keptBatches: number;
  /** Identifies this control process; revisions of another epoch cannot be compared. */
  epoch: string;
  /** Called after each batch. */
  onBatch: () => void;
}

/** Collects directory changes in windows and encodes each window once for all nodes. */
export class EndpointBroadcast {
  readonly #directory: EndpointDirectory;

  readonly #options: EndpointBroadcastOptions;

  readonly #changed = new Set<string>();

  readonly #batches = new Map<number, Uint8Array>();

  readonly #unsubscribe: () => void;

  #full: { revision: number; bytes: Uint8Array } | undefined;

  #timer: NodeJS.Timeout | undefined;

  #revision = 0;

  constructor(directory: EndpointDirectory, options: EndpointBroadcastOptions) {
    this.#directory = directory;
    this.#options = options;
    this.#unsubscribe = directory.onChanged((nodeId) => this.#noteChange(nodeId));
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
   * Returns the encoded deltas that a node needs, each shared by all nodes.
   *
   * @param epoch - control process that the node last heard from
   * @param revision - the last batch that the node received
   */
  encodeSince(epoch: string, revision: number): Uint8Array[] {
    const missing = this.#revision - revision;
    const isKnown = epoch === this.#options.epoch && missing >= 0;
    if (!isKnown) return [this.#encodeFull()];
    const numbers = Array.from({ length: missing }, (_, index) => revision + 1 + index);
    const batches = numbers.flatMap((number) => this.#batches.get(number) ?? []);
    return batches.length === missing ? batches : [this.#encodeFull()];
  }

  /** Stops collecting. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#unsubscribe();
  }

  #noteChange(nodeId: string): void {
    this.#changed.add(nodeId);
    this.#timer ??= setTimeout(() => this.#flush(), this.#options.windowMs);
  }

  #flush(): void {
    this.#timer = undefined;
    this.#revision += 1;
    const delta = this.#createDelta([...this.#changed]);
    this.#changed.clear();
    this.#batches.set(this.#revision, toBinary(EndpointDeltaSchema, delta));
    this.#batches.delete(this.#revision - this.#options.keptBatches);
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

  // A full delta may already hold changes of the open window; the batch repeats them without effect.
  #encodeFull(): Uint8Array {
    if (this.#full?.revision === this.#revision) return this.#full.bytes;
    const delta = create(EndpointDeltaSchema, {
      epoch: this.#options.epoch,
      revision: this.#revision,
      isFull: true,
      upserted: this.#directory.records(),
    });
    const bytes = toBinary(EndpointDeltaSchema, delta);
    this.#full = { revision: this.#revision, bytes };
    return bytes;
  }
}
