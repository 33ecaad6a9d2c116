import { toBinary } from '@bufbuild/protobuf';

import {
  ConfigurationDeltaSchema,
  ConfigurationSchema,
} from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import { createDelta } from '../../../version/createDelta/index.js';

import type { Configuration } from '../../../_generated/foxtailvane/v1/configuration_pb.js';

/** An encoded update from one version to another. */
export interface Payload {
  kind: 'snapshot' | 'delta';
  bytes: Uint8Array;
}

/** Returns a committed version if it is still available. */
export type VersionReader = (version: number) => Configuration | undefined;

/** The version that a node holds; version 0 for none. */
export interface HeldVersion {
  version: number;
  contentHash: Uint8Array;
}

/** Encodes each update once, for all nodes that hold the same base version. */
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

  /** Returns the encoded snapshot of a version. */
  encodeSnapshot(target: Configuration): Payload {
    this.#switchTo(target);
    if (this.#snapshot === undefined) {
      this.#encodingCount += 1;
      this.#snapshot = { kind: 'snapshot', bytes: toBinary(ConfigurationSchema, target) };
    }
    return this.#snapshot;
  }

  /**
   * Returns the smaller of delta and snapshot; the snapshot when the base is unknown.
   *
   * @param held - version that the node holds
   * @param target - version that the node must receive
   */
  encodeUpdate(held: HeldVersion, target: Configuration): Payload {
    this.#switchTo(target);
    const key = `${held.version}:${Buffer.from(held.contentHash).toString('hex')}`;
    const cached = this.#updates.get(key);
    if (cached !== undefined) return cached;
    const delta = this.#encodeDelta(held, target);
    const snapshot = this.encodeSnapshot(target);
    const isDeltaSmaller = delta !== undefined && delta.length < snapshot.bytes.length;
    const payload: Payload = isDeltaSmaller ? { kind: 'delta', bytes: delta } : snapshot;
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

  // Nodes are only updated to the newest version, so cached updates to older ones are dropped.
  #switchTo(target: Configuration): void {
    if (this.#target === target) return;
    this.#target = target;
    this.#snapshot = undefined;
    this.#updates.clear();
  }
}
