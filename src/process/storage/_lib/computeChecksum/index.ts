import { createHash } from 'node:crypto';

/** Length of a checksum; the probability of undetected corruption is 2^-64. */
export const CHECKSUM_BYTES = 8;

/**
 * Computes the checksum of stored bytes: the start of their SHA-256 digest.
 *
 * @param seed - identifies the owner of the bytes, so that those of another owner do not match
 * @param bytes - the content
 */
export const computeChecksum = (seed: string, bytes: Uint8Array): Buffer =>
  createHash('sha256').update(seed).update(bytes).digest().subarray(0, CHECKSUM_BYTES);
