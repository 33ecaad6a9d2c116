import { toBinary } from '@bufbuild/protobuf';

import {
  ConfigurationDeltaSchema,
  ConfigurationSchema,
} from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import { createDelta } from '../../../version/createDelta/index.js';

import type { Configuration } from '../../../_generated/foxtailvane/v1/configuration_pb.js';

/** An encoded update of a node from one version to another. */
export interface Payload {
  kind: 'snapshot' | 'delta';
  bytes: Uint8Array;
}

/** Returns a committed version if it is still known. */
export type VersionReader = (version: number) => Configuration | undefined;

/** The version that a node holds; version 0 for none. */
export interface HeldVersion {
  version: number;
  contentHash: Uint8Array;
}

/** Encodes each update once per version pair, for all nodes that hold the same base. */
export class PayloadCache {
  #target: Configuration | undefined;

  #snapshot: Payload | undefined;

  readonly #updates = new Map<string, Payload>();

  readonly #readVersion: VersionReader;

  #encodingCount = 0;

  /** @param readVersion - looks up the base of a delta */
  constructor(readVersion: VersionReader) {
    this.#readVersion = readVersion;
  }

  /** Number of encodings so far. */
  get encodingCount(): number {
    return this.#encodingCount;
  }

  /** Returns the whole version, encoded. */
  encodeSnapshot(target: Configuration): Payload {
    this.#switchTo(target);
    if (this.#snapshot === undefined) {
      this.#encodingCount += 1;
      this.#snapshot = { kind: 'snapshot', bytes: toBinary(ConfigurationSchema, target) };
    }
    return this.#snapshot;
  }

  /**
   * Returns the smaller of delta and snapshot; a snapshot when the base is unknown.
   *
   * @param held - what the node holds
   * @param target - what it shall hold
   */
  encodeUpdate(held: HeldVersion, target: Configuration): Payload {
    this.#switchTo(target);
    const key = `${held.version}:${Buffer.from(held.contentHash).toString('hex')}`;
    const cached = this.#updates.get(key);
    if (cached !== undefined) return cached;
    const delta = this.#encodeDelta(held, target);
    const snapshot = this.encodeSnapshot(target);
    const update = delta !== undefined && delta.length < snapshot.bytes.length;
    const payload: Payload = update ? { kind: 'delta', bytes: delta } : snapshot;
    this.#updates.set(key, payload);
    return payload;
  }

  #encodeDelta(held: HeldVersion, target: Configuration): Uint8Array | undefined {
    const base = this.#readVersion(held.version);
    if (base === undefined || Buffer.compare(base.contentHash, held.contentHash) !== 0) {
      return undefined;
    }
    return createDelta(base, target).match(
      (delta) => {
        this.#encodingCount += 1;
        return toBinary(ConfigurationDeltaSchema, delta);
      },
      () => undefined,
    );
  }

  // Nodes are only ever moved to the newest version, so updates to older ones are dropped.
  #switchTo(target: Configuration): void {
    if (this.#target === target) return;
    this.#target = target;
    this.#snapshot = undefined;
    this.#updates.clear();
  }
}
