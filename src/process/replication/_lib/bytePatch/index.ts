import { create } from '@bufbuild/protobuf';

import { PatchOperationSchema } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type { PatchOperation } from '../../../../_generated/foxtailvane/v1/replication_pb.js';

/** Length of the indexed blocks of the base, and so of the shortest copy. */
const BLOCK_BYTES = 32;
/** Bytes compared at once while base and target agree. */
const COMPARED_BYTES = 1_024;
/** Number of equal blocks of the base that are compared, those nearest to the last copy. */
const MAX_CANDIDATES = 8;
/** Modulus and factor of the rolling hash; their product is exact in a double. */
const HASH_MODULUS = 16_777_213;
const HASH_FACTOR = 65_599;
/** Weight of the byte that leaves the block. */
const LEAVING_FACTOR = Array.from({ length: BLOCK_BYTES - 1 }).reduce<number>(
  (power) => (power * HASH_FACTOR) % HASH_MODULUS,
  1,
);

const readByte = (bytes: Buffer, offset: number): number => bytes[offset] ?? 0;

const hashBlock = (bytes: Buffer, offset: number): number => {
  let hash = 0;
  for (let index = offset; index < offset + BLOCK_BYTES; index += 1) {
    hash = (hash * HASH_FACTOR + readByte(bytes, index)) % HASH_MODULUS;
  }
  return hash;
};

/** Moves the hash of the block at an offset by one byte. */
const rollHash = (hash: number, bytes: Buffer, offset: number): number => {
  const leaving = (readByte(bytes, offset) * LEAVING_FACTOR) % HASH_MODULUS;
  const remaining = (hash - leaving + HASH_MODULUS) % HASH_MODULUS;
  return (remaining * HASH_FACTOR + readByte(bytes, offset + BLOCK_BYTES)) % HASH_MODULUS;
};

/** Returns the offsets of the blocks of the base by hash, in ascending order. */
const indexBlocks = (base: Buffer): Map<number, number[]> => {
  const offsetsByHash = new Map<number, number[]>();
  for (let offset = 0; offset + BLOCK_BYTES <= base.length; offset += BLOCK_BYTES) {
    const hash = hashBlock(base, offset);
    const offsets = offsetsByHash.get(hash);
    if (offsets) offsets.push(offset);
    else offsetsByHash.set(hash, [offset]);
  }
  return offsetsByHash;
};

/** Returns the number of equal bytes from the two offsets on. */
const countEqualBytes = (
  base: Buffer,
  target: Buffer,
  baseOffset: number,
  targetOffset: number,
): number => {
  const limit = Math.min(base.length - baseOffset, target.length - targetOffset);
  const isEqual = (start: number): boolean =>
    base.compare(
      target,
      targetOffset + start,
      targetOffset + start + COMPARED_BYTES,
      baseOffset + start,
      baseOffset + start + COMPARED_BYTES,
    ) === 0;
  let length = 0;
  while (length + COMPARED_BYTES <= limit && isEqual(length)) length += COMPARED_BYTES;
  while (length < limit && base[baseOffset + length] === target[targetOffset + length]) length += 1;
  return length;
};

/** Returns the candidates around a position; equal blocks may be frequent in repetitive texts. */
const selectNearest = (offsets: number[], position: number): number[] => {
  if (offsets.length <= MAX_CANDIDATES) return offsets;
  const next = offsets.findIndex((offset) => offset >= position);
  const middle = next === -1 ? offsets.length : next;
  const start = Math.min(Math.max(0, middle - MAX_CANDIDATES / 2), offsets.length - MAX_CANDIDATES);
  return offsets.slice(start, start + MAX_CANDIDATES);
};

/** A run of bytes that base and target have in common. */
interface Match {
  baseOffset: number;
  length: number;
}

const NO_MATCH: Match = { baseOffset: 0, length: 0 };

/**
 * Describes a target as copies from a base and inserted bytes. Its cost grows with the length of
 * both, and is small where they agree.
 *
 * @param base - the bytes that the receiver has
 * @param target - the bytes that the operations lead to
 * @returns the operations in order
 *
 * @example
 * applyPatch(base, createPatch(base, target), target.length); // equals target
 */
export const createPatch = (base: Uint8Array, target: Uint8Array): PatchOperation[] => {
  const from = Buffer.from(base.buffer, base.byteOffset, base.length);
  const to = Buffer.from(target.buffer, target.byteOffset, target.length);
  const operations: PatchOperation[] = [];
  const index = indexBlocks(from);
  let copy: Match = { baseOffset: 0, length: countEqualBytes(from, to, 0, 0) };
  let insertedFrom = copy.length;
  const findMatch = (offset: number, hash: number): Match => {
    const copyEnd = copy.baseOffset + copy.length;
    return selectNearest(index.get(hash) ?? [], copyEnd)
      .map((baseOffset) => ({
        baseOffset,
        length: countEqualBytes(from, to, baseOffset, offset),
      }))
      .reduce((best, match) => (match.length > best.length ? match : best), NO_MATCH);
  };
  const addOperation = (insertedTo: number): void => {
    const { baseOffset: copyOffset, length: copyLength } = copy;
    // A copy, since a view would keep the whole target in memory.
    const inserted = new Uint8Array(to.subarray(insertedFrom, insertedTo));
    operations.push(create(PatchOperationSchema, { copyOffset, copyLength, inserted }));
  };
  let offset = insertedFrom;
  let hash: number | undefined;
  while (offset + BLOCK_BYTES <= to.length) {
    hash = hash === undefined ? hashBlock(to, offset) : rollHash(hash, to, offset - 1);
    const match = findMatch(offset, hash);
    if (match.length >= BLOCK_BYTES) {
      addOperation(offset);
      copy = match;
      offset += match.length;
      insertedFrom = offset;
      hash = undefined;
    } else {
      offset += 1;
    }
  }
  addOperation(to.length);
  return operations;
};

/**
 * Applies the operations of `createPatch`.
 *
 * @param base - the bytes that the operations refer to
 * @param operations - may come from another process
 * @param maxBytes - limit of the result
 * @returns the target; undefined if an operation exceeds the base or the result the limit
 */
export const applyPatch = (
  base: Uint8Array,
  operations: PatchOperation[],
  maxBytes: number,
): Uint8Array | undefined => {
  const isWithinBase = operations.every(
    ({ copyOffset, copyLength }) => copyOffset + copyLength <= base.length,
  );
  const totalBytes = operations.reduce(
    (sum, { copyLength, inserted }) => sum + copyLength + inserted.length,
    0,
  );
  if (!isWithinBase || totalBytes > maxBytes) return undefined;
  return Buffer.concat(
    operations.flatMap(({ copyOffset, copyLength, inserted }) => [
      base.subarray(copyOffset, copyOffset + copyLength),
      inserted,
    ]),
    totalBytes,
  );
};
