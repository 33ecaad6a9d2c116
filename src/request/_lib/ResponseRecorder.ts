import { create } from '@bufbuild/protobuf';

import type { ServerResponse } from 'node:http';
import { StoredResponseSchema } from '../../_generated/foxtailvane/v1/idempotency_pb.js';
import { delimitByClose } from '../../connection/delimitByClose/index.js';
import GrowingBuffer from '../../process/GrowingBuffer/index.js';

import type { StoredResponse } from '../../_generated/foxtailvane/v1/idempotency_pb.js';
import type { ResponseHead, ResponseTap } from '../../connection/UpstreamCall/index.js';

/** Larger responses are forwarded, but not stored for repeated requests. */
const MAX_STORED_BYTES = 65_536;

/** Records a response while it is forwarded, and stores it before its end is sent to the caller. */
export class ResponseRecorder implements ResponseTap {
  readonly #store: (response: StoredResponse | undefined) => Promise<void>;

  #head: ResponseHead | undefined;

  #endsWithConnection = false;

  readonly #body = new GrowingBuffer();

  #isTooLarge = false;

  /** @param store - stores the response; receives undefined when it is too large or has no head */
  constructor(store: (response: StoredResponse | undefined) => Promise<void>) {
    this.#store = store;
  }

  addHead(head: ResponseHead, options: { endsWithConnection: boolean }): void {
    this.#head = head;
    this.#endsWithConnection = options.endsWithConnection;
  }

  addChunk(chunk: Buffer): void {
    this.#isTooLarge ||= this.#body.sizeBytes + chunk.length > MAX_STORED_BYTES;
    if (this.#isTooLarge) this.#body.take();
    else this.#body.append(chunk);
  }

  async finish(): Promise<void> {
    const isStorable = this.#head !== undefined && !this.#isTooLarge;
    const response = isStorable
      ? create(StoredResponseSchema, {
          statusCode: this.#head?.statusCode,
          headers: this.#head?.headers,
          // Stored for long, so without the room that it was given to grow.
          body: Buffer.from(this.#body.take()),
          endsWithConnection: this.#endsWithConnection,
        })
      : undefined;
    await this.#store(response);
  }
}

/** Answers a repeated request with the stored response to the first one. */
export const replayResponse = (response: ServerResponse, stored: StoredResponse): void => {
  const hasChunks = response.useChunkedEncodingByDefault;
  if (stored.endsWithConnection || !hasChunks) delimitByClose(response);
  response.writeHead(stored.statusCode, [...stored.headers, 'idempotent-replayed', 'true']);
  response.end(stored.body);
};
