/** Computes the digests by which configurations and nodes know the keys of workspaces. */
import { createHash } from 'node:crypto';

/** Longest key, in characters. Bounds what a caller who tries keys can cost. */
export const MAX_KEY_LENGTH = 256;

/** Bytes of a digest that identify a key between nodes. */
const KEY_ID_BYTES = 8;

/** Visible ASCII, which a header field carries unchanged. */
const KEY_PATTERN = /^[\x21-\x7e]+$/;

/**
 * Computes the digest of a key. Only digests are compared, stored and sent, so the time of a lookup
 * tells nothing about the keys that exist.
 *
 * @param key - what the caller presented or the operator sent
 * @returns SHA-256 digest, 32 bytes; undefined if no key can have this form
 *
 * @example
 * digestKey('dedev3nax7u27gxprymh')?.toString('hex');
 */
export const digestKey = (key: string): Buffer | undefined =>
  key.length <= MAX_KEY_LENGTH && KEY_PATTERN.test(key)
    ? createHash('sha256').update(key, 'latin1').digest()
    : undefined;

/**
 * Returns the part of a digest by which nodes name a key to each other. It is short, since each
 * forwarded request carries it; whoever presents a key is checked by the whole digest.
 *
 * @param digest - SHA-256 digest
 * @returns 16 hexadecimal digits
 */
export const formatKeyId = (digest: Uint8Array): string =>
  Buffer.from(digest.subarray(0, KEY_ID_BYTES)).toString('hex');
