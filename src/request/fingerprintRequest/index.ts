/** Fingerprints by which the repeats of a request are recognized, whatever their ids. */
import { createHash } from 'node:crypto';

/** What identifies a request apart from its id. */
export interface RequestIdentity {
  method: string;
  host: string;
  /** Path with query. */
  path: string;
  /** Buffered body; null when there is none, undefined when it is streamed. */
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
 * Computes the fingerprints of a request, each more specific than the one before.
 *
 * The body adds a fingerprint of its own, because a repeat may be streamed, which leaves its body
 * unknown.
 *
 * @param identity - method, host, path, body and caller of the request
 * @returns a fingerprint for all callers and bodies, one for this caller, and one for this caller and
 *   body if the body is buffered
 */
export const fingerprintRequest = ({
  method,
  host,
  path,
  body,
  callerService,
}: RequestIdentity): bigint[] => {
  const shared = hash([method, host.toLowerCase(), path]);
  const ofCaller = hash([String(shared), callerService]);
  return body ? [shared, ofCaller, hash([String(ofCaller), body])] : [shared, ofCaller];
};
