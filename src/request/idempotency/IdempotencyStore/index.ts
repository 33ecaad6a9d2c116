import { create } from '@bufbuild/protobuf';

import {
  ReservationState,
  ReserveResponseSchema,
} from '../../../_generated/foxtailvane/v1/idempotency_pb.js';

import type {
  ReserveRequest,
  ReserveResponse,
  StoredResponse,
} from '../../../_generated/foxtailvane/v1/idempotency_pb.js';

export interface IdempotencyStoreOptions {
  /** Time for which a record is kept after its last change. */
  retentionMs: number;
  maxRecords?: number;
  /** Limit on the total size of the bodies and headers of stored responses. */
  maxBytes?: number;
}

/** Take 4 MB at 200 bytes each, without responses. */
const DEFAULT_MAX_RECORDS = 20_000;
const DEFAULT_MAX_BYTES = 8_388_608;

interface StoredRecord {
  owner: string;
  bodyHash: Buffer;
  isDone: boolean;
  response: StoredResponse | undefined;
  sizeBytes: number;
  expiresAtMs: number;
}

const measureBytes = (response: StoredResponse | undefined): number =>
  response ? response.headers.reduce((sum, text) => sum + text.length, response.body.length) : 0;

const isDifferentBody = (left: Buffer, right: Buffer): boolean =>
  left.length > 0 && right.length > 0 && !left.equals(right);

/**
 * Stores the records of requests with an Idempotency-Key that this node holds for its data centre.
 *
 * A record is never removed before it expires, since a repeated request could then run; a full
 * store refuses new keys instead. A response that does not fit is not stored, so its repeats are
 * refused.
 */
export class IdempotencyStore {
  readonly #options: Required<IdempotencyStoreOptions>;

  /** In the order of their last change, so that the oldest records come first. */
  readonly #records = new Map<string, StoredRecord>();

  #sizeBytes = 0;

  constructor(options: IdempotencyStoreOptions) {
    this.#options = {
      maxRecords: DEFAULT_MAX_RECORDS,
      maxBytes: DEFAULT_MAX_BYTES,
      ...options,
    };
  }

  get size(): number {
    return this.#records.size;
  }

  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /**
   * Reserves a key, or returns the state of the request that holds it.
   *
   * @param request - key, id of the request and hash of its body
   * @param nowMs - present time in milliseconds since the epoch
   */
  reserve(request: ReserveRequest, nowMs: number): ReserveResponse {
    this.expire(nowMs);
    const known = this.#records.get(request.key);
    const bodyHash = Buffer.from(request.bodyHash);
    if (known) return this.#createResponse(known, request.owner, bodyHash);
    if (this.#records.size >= this.#options.maxRecords) {
      return create(ReserveResponseSchema, { state: ReservationState.FULL });
    }
    this.#records.set(request.key, {
      owner: request.owner,
      bodyHash,
      isDone: false,
      response: undefined,
      sizeBytes: 0,
      expiresAtMs: nowMs + this.#options.retentionMs,
    });
    return create(ReserveResponseSchema, { state: ReservationState.RESERVED });
  }

  /**
   * Stores the response of the request that holds a key.
   *
   * @param key - key of the request
   * @param owner - id of the request that reserved the key
   * @param response - undefined when it is too large to keep
   * @param nowMs - present time in milliseconds since the epoch
   */
  complete(key: string, owner: string, response: StoredResponse | undefined, nowMs: number): void {
    const record = this.#records.get(key);
    if (!record || record.owner !== owner) return;
    const sizeBytes = measureBytes(response);
    const isKept = this.#sizeBytes + sizeBytes <= this.#options.maxBytes;
    record.isDone = true;
    record.response = isKept ? response : undefined;
    record.sizeBytes = isKept ? sizeBytes : 0;
    record.expiresAtMs = nowMs + this.#options.retentionMs;
    this.#sizeBytes += record.sizeBytes;
    this.#records.delete(key);
    this.#records.set(key, record);
  }

  /** Releases the key of a request that certainly did not run. */
  release(key: string, owner: string): void {
    const record = this.#records.get(key);
    if (record && record.owner === owner && !record.isDone) this.#records.delete(key);
  }

  /** Removes records whose retention has ended. */
  expire(nowMs: number): void {
    let next = this.#records.entries().next();
    while (!next.done && next.value[1].expiresAtMs <= nowMs) {
      const [key, record] = next.value;
      this.#sizeBytes -= record.sizeBytes;
      this.#records.delete(key);
      next = this.#records.entries().next();
    }
  }

  #createResponse(known: StoredRecord, owner: string, bodyHash: Buffer): ReserveResponse {
    if (known.owner === owner && !known.isDone) {
      return create(ReserveResponseSchema, { state: ReservationState.RESERVED });
    }
    if (isDifferentBody(known.bodyHash, bodyHash)) {
      return create(ReserveResponseSchema, { state: ReservationState.MISMATCH });
    }
    const state = known.isDone ? ReservationState.DONE : ReservationState.IN_USE;
    return create(ReserveResponseSchema, { state, response: known.response });
  }
}
