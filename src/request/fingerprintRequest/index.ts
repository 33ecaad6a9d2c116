/** Fingerprints by which the repeats of a request are recognized, whatever their ids. */
import { createHash } from 'node:crypto';

/** What identifies a request apart from its id. */
export interface RequestIdentity {
  method: string;
  host: string;
  /** Path with query. */
  path: string;
  /** Digest of the first bytes of the body; undefined when there is no body, or these are unknown. */
  bodyDigest: Buffer | undefined;
  /** Service on the VM of the entry node; empty when there is none. */
  callerService: string;
}

/**
 * Bodies are identified by so many bytes from their start: a request must be recognized before it is
 * sent, and longer bodies are not held until they are complete.
 */
export const IDENTIFIED_BODY_BYTES = 65_536;

const FINGERPRINT_BYTES = 8;

const hash = (parts: (string | Buffer)[]): bigint => {
  const sum = createHash('sha256');
  parts.forEach((part) => sum.update(part).update('\n'));
  return sum.digest().subarray(0, FINGERPRINT_BYTES).readBigUInt64BE();
};

/** Computes the digest of a buffered body, which is the same as that of its streamed repeat. */
export const digestBody = (body: Buffer): Buffer =>
  createHash('sha256').update(body.subarray(0, IDENTIFIED_BODY_BYTES)).digest();

/**
 * Computes the fingerprints of a request, each more specific than the one before.
 *
 * The body adds a fingerprint of its own, because that of a streamed repeat may not be known yet.
 *
 * @param identity - method, host, path, body and caller of the request
 * @returns a fingerprint for all callers and bodies, one for this caller, and one for this caller and
 *   body if the body is known
 */
export const fingerprintRequest = ({
  method,
  host,
  path,
  bodyDigest,
  callerService,
}: RequestIdentity): bigint[] => {
  const shared = hash([method, host.toLowerCase(), path]);
  const ofCaller = hash([String(shared), callerService]);
  return bodyDigest ? [shared, ofCaller, hash([String(ofCaller), bodyDigest])] : [shared, ofCaller];
};
