import { createHash } from 'node:crypto';

/** Size of an answer when neither the request nor the server asks for another. */
export const DEFAULT_ANSWER_BYTES = 300;

/** Request header with the wanted size of the answer in bytes. */
export const ANSWER_BYTES_HEADER = 'x-answer-bytes';

/**
 * Builds the only correct answer to a request, so that a crossed or truncated answer is detected.
 *
 * @param requestId - value of `x-request-id`
 * @param requestBody - complete request body
 * @param sizeBytes - size of the answer, at least 1
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
