import { constants } from 'node:http2';

import type { Http2ServerRequest, Http2ServerResponse } from 'node:http2';
import { createLogger } from '../../../process/log/index.js';

/** Content types of calls with streams, whose messages are read one after the other. */
const STREAM_TYPE = /^application\/connect\+/;

const log = createLogger('rpc-server');

/**
 * The requests with one message each that a listener receives or handles.
 *
 * Each stream of a session is read up to the limit of a message, so many at the same time may exceed
 * the memory of the process; beyond a limit of their sum the largest is reset.
 *
 * @example
 * received.add(request, response);
 * handle(request, response);
 */
export default class ReceivedMessages {
  readonly #maxBytes: number;

  readonly #sizesBytes = new Map<Http2ServerRequest, number>();

  #sizeBytes = 0;

  /** @param maxBytes - limit of the sum of all messages */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Counts the bytes of a request, which has not been read, until its response is closed. */
  add(request: Http2ServerRequest, response: Http2ServerResponse): void {
    if (STREAM_TYPE.test(request.headers['content-type'] ?? '')) return;
    this.#sizesBytes.set(request, 0);
    const push = request.push.bind(request);
    const countChunk = (chunk: Buffer | null, encoding?: BufferEncoding): boolean => {
      if (chunk) this.#count(request, chunk.length);
      return push(chunk, encoding);
    };
    Object.assign(request, { push: countChunk });
    response.once('close', () => this.#remove(request));
  }

  #count(request: Http2ServerRequest, chunkBytes: number): void {
    const sizeBytes = this.#sizesBytes.get(request);
    if (sizeBytes === undefined) return;
    this.#sizesBytes.set(request, sizeBytes + chunkBytes);
    this.#sizeBytes += chunkBytes;
    if (this.#sizeBytes > this.#maxBytes) this.#resetLargest();
  }

  #resetLargest(): void {
    const [largest] = [...this.#sizesBytes].sort(([, a], [, b]) => b - a);
    if (!largest) return;
    const [request, sizeBytes] = largest;
    const { remoteAddress } = request.socket;
    log.warn({ path: request.url, remoteAddress, sizeBytes }, 'message of a process reset');
    this.#remove(request);
    request.stream.close(constants.NGHTTP2_ENHANCE_YOUR_CALM);
  }

  #remove(request: Http2ServerRequest): void {
    this.#sizeBytes -= this.#sizesBytes.get(request) ?? 0;
    this.#sizesBytes.delete(request);
  }
}
