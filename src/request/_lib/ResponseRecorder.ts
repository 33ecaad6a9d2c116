import { create } from '@bufbuild/protobuf';

import type { ServerResponse } from 'node:http';
import { StoredResponseSchema } from '../../_generated/foxtailvane/v1/idempotency_pb.js';

import type { StoredResponse } from '../../_generated/foxtailvane/v1/idempotency_pb.js';
import type { ResponseHead, ResponseTap } from '../../connection/UpstreamCall/index.js';

/** Larger responses are passed on, but not kept for repeats. */
const MAX_KEPT_BYTES = 65_536;

/** Copies a response while it is passed on, and has it kept before its end reaches the caller. */
export class ResponseRecorder implements ResponseTap {
  readonly #keep: (response: StoredResponse | undefined) => Promise<void>;

  #head: ResponseHead | undefined;

  #chunks: Buffer[] = [];

  #sizeBytes = 0;

  /** @param keep - receives the response, or undefined when it is too large */
  constructor(keep: (response: StoredResponse | undefined) => Promise<void>) {
    this.#keep = keep;
  }

  addHead(head: ResponseHead): void {
    this.#head = head;
  }

  addChunk(chunk: Buffer): void {
    this.#sizeBytes += chunk.length;
    if (this.#sizeBytes <= MAX_KEPT_BYTES) this.#chunks.push(Buffer.from(chunk));
    else this.#chunks = [];
  }

  async finish(): Promise<void> {
    const isKept = this.#head !== undefined && this.#sizeBytes <= MAX_KEPT_BYTES;
    const response = isKept
      ? create(StoredResponseSchema, {
          statusCode: this.#head?.statusCode,
          headers: this.#head?.headers,
          body: Buffer.concat(this.#chunks),
        })
      : undefined;
    await this.#keep(response);
  }
}

/** Answers a repeat with the response to the first request. */
export const replayResponse = (response: ServerResponse, stored: StoredResponse): void => {
  response.writeHead(stored.statusCode, [...stored.headers, 'idempotent-replayed', 'true']);
  response.end(stored.body);
};
