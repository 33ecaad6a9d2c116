/** Fingerprints by which the repeats of a request are recognized, whatever their ids. */
import { createHash } from 'node:crypto';

/** What identifies a request apart from its id. */
export interface RequestIdentity {
  method: string;
  host: string;
  /** Path with query. */
  path: string;
  /** Buffered body; null when there is none, undefined when it is streamed and counts as empty. */
  body: Buffer | null | undefined;
  /** Service on the VM of the entry node; empty when there is none. */
  callerService: string;
}

const FINGERPRINT_BYTES = 8;

const hash = (parts: (string | Buffer)[]): bigint => {
  const sum = createHash('sha256');
  parts.forEach((part) => sum.update(part).update('\n'));
  return sum.digest().subarray(0, FINGERPRINT_BYTES).readBigUInt64BE();
};

/**
 * Computes the fingerprints of a request.
 *
 * @param identity - method, host, path, body and caller of the request
 * @returns one fingerprint that is the same for all callers, and one for this caller
 */
export const fingerprintRequest = ({
  method,
  host,
  path,
  body,
  callerService,
}: RequestIdentity): bigint[] => {
  const shared = hash([method, host.toLowerCase(), path, body ?? '']);
  return [shared, hash([String(shared), callerService])];
};
