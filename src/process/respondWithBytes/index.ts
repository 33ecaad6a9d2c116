import { stream } from 'hono/streaming';

import type { Context } from 'hono';
import type { StatusCode } from 'hono/utils/http-status';

/** Part of a response that waits in its connection for a caller that does not read. */
const PART_BYTES = 65_536;

/**
 * Responds with bytes that are written as fast as the caller reads them. Responses to any number of
 * callers can share the same bytes, of which they copy a small part at a time.
 *
 * @param context - context of the request
 * @param bytes - the body, which must not change
 * @param options - status and content type of the response
 *
 * @example
 * app.get('/version', (context) => respondWithBytes(context, bytes, { statusCode: 200, contentType }));
 */
const respondWithBytes = (
  context: Context,
  bytes: Uint8Array<ArrayBuffer>,
  { statusCode, contentType }: { statusCode: StatusCode; contentType: string },
) => {
  context.status(statusCode);
  context.header('content-type', contentType);
  // A copy of a few bytes costs less than a stream.
  if (bytes.length <= PART_BYTES) return context.body(bytes);
  context.header('content-length', String(bytes.length));
  return stream(context, async (output) => {
    let offset = 0;
    while (offset < bytes.length && !output.aborted) {
      await output.write(bytes.subarray(offset, offset + PART_BYTES));
      offset += PART_BYTES;
    }
  });
};

export default respondWithBytes;
