import { createHash } from 'node:crypto';

/** Size of a response body when the request does not set one. */
export const DEFAULT_ANSWER_BYTES = 300;

/** Request header with the size of the response body in bytes. */
export const ANSWER_BYTES_HEADER = 'x-answer-bytes';

/**
 * Builds the only valid response body of a request, so that a client detects a truncated body or
 * the body of another request.
 *
 * @param requestId - value of `x-request-id`
 * @param requestBody - complete request body
 * @param sizeBytes - size of the response body, at least 1
 *
 * @example
 * buildAnswerBody('r1', Buffer.from('two bundles'), 300).length; // 300
 */
export const buildAnswerBody = (
  requestId: string,
  requestBody: Uint8Array,
  sizeBytes = DEFAULT_ANSWER_BYTES,
): Buffer => {
  const digest = createHash('sha256')
    .update(requestId)
    .update('\0')
    .update(requestBody)
    .digest('hex');
  return Buffer.alloc(sizeBytes, digest, 'latin1');
};
