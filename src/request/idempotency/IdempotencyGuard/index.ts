import { create } from '@bufbuild/protobuf';
import { createClient, createRouterTransport } from '@connectrpc/connect';
import { err, ok } from 'neverthrow';

import type { Client } from '@connectrpc/connect';
import type { Result } from 'neverthrow';
import {
  IdempotencyService,
  ReservationState,
  ReserveRequestSchema,
} from '../../../_generated/foxtailvane/v1/idempotency_pb.js';
import { openTransport } from '../../../connection/openTransport/index.js';
import { IdempotencyError, IdempotencyErrorCode } from '../IdempotencyError/index.js';
import { createIdempotencyRoutes } from '../createIdempotencyRoutes/index.js';
import { rankHolders } from '../rankHolders/index.js';

import type { NodeRecord } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';
import type {
  ReserveResponse,
  StoredResponse,
} from '../../../_generated/foxtailvane/v1/idempotency_pb.js';
import type { OpenedTransport, TlsMaterial } from '../../../connection/openTransport/index.js';
import type { IdempotencyRoutesOptions } from '../createIdempotencyRoutes/index.js';

/** A holder that does not respond within this time counts as unreachable. */
const HOLDER_TIMEOUT_MS = 1_000;

type HolderClient = Client<typeof IdempotencyService>;

/** Identity of a request with an Idempotency-Key. */
export interface KeyedRequest {
  key: string;
  /** Unique id of the request. */
  owner: string;
  bodyHash: Uint8Array;
}

/** A key that its holders have reserved for one request. */
export interface Reservation {
  request: KeyedRequest;
  holders: HolderClient[];
}

export interface IdempotencyGuardOptions extends IdempotencyRoutesOptions {
  nodeId: string;
  dataCentre: string;
  /** Returns the records of all live nodes. */
  getRecords: () => readonly NodeRecord[];
  tls?: (() => TlsMaterial) | undefined;
}

interface HolderReply {
  holder: HolderClient;
  /** Undefined when the holder could not be reached. */
  response: ReserveResponse | undefined;
}

const ERROR_CODES: Partial<Record<ReservationState, IdempotencyErrorCode>> = {
  [ReservationState.IN_USE]: IdempotencyErrorCode.InUse,
  [ReservationState.MISMATCH]: IdempotencyErrorCode.Mismatch,
  [ReservationState.FULL]: IdempotencyErrorCode.StoreFull,
  [ReservationState.UNSPECIFIED]: IdempotencyErrorCode.HolderUnreachable,
};

/** Reserves the keys of requests at their holders before the requests run. */
export class IdempotencyGuard {
  readonly #options: IdempotencyGuardOptions;

  readonly #local: HolderClient;

  readonly #remote = new Map<string, { opened: OpenedTransport; client: HolderClient }>();

  constructor(options: IdempotencyGuardOptions) {
    this.#options = options;
    const transport = createRouterTransport(createIdempotencyRoutes(options));
    this.#local = createClient(IdempotencyService, transport);
  }

  /**
   * Reserves a key at its holders, one after the other, so that only one of two concurrent requests
   * gets it.
   *
   * @param request - key, id of the request and hash of its body
   * @returns the reservation, the stored response to an earlier request, or an error that says why
   *   the request must not run
   */
  async reserve(
    request: KeyedRequest,
  ): Promise<Result<Reservation | StoredResponse, IdempotencyError>> {
    const holders = this.#findHolders(request.key);
    if (holders.length === 0)
      return err(new IdempotencyError(IdempotencyErrorCode.HoldersIncomplete));
    const reserved: HolderReply[] = [];
    for (let index = 0; index < holders.length; index += 1) {
      const reply = await this.#reserveAt(holders[index] as HolderClient, request);
      if (reply.response?.state !== ReservationState.RESERVED) {
        // An unreachable holder may have reserved the key although its response was lost.
        await this.#releaseAll([...reserved, reply], request);
        return this.#convertReply(reply);
      }
      reserved.push(reply);
    }
    if (reserved.some(({ response }) => response?.warm)) {
      return ok({ request, holders: reserved.map(({ holder }) => holder) });
    }
    await this.#releaseAll(reserved, request);
    return err(new IdempotencyError(IdempotencyErrorCode.HoldersIncomplete));
  }

  /**
   * Stores the response for repeated requests.
   *
   * @param reservation - reservation of the request
   * @param response - undefined when it is too large to keep
   */
  async complete(
    { request, holders }: Reservation,
    response: StoredResponse | undefined,
  ): Promise<void> {
    const { key, owner } = request;
    const timeoutMs = HOLDER_TIMEOUT_MS;
    await Promise.allSettled(
      holders.map((holder) => holder.complete({ key, owner, response }, { timeoutMs })),
    );
  }

  /** Releases the key of a request that certainly did not run. */
  async release({ request, holders }: Reservation): Promise<void> {
    await this.#releaseAll(
      holders.map((holder) => ({ holder })),
      request,
    );
  }

  /** Closes the connections to other nodes. */
  close(): void {
    this.#remote.forEach(({ opened }) => opened.close());
    this.#remote.clear();
  }

  async #reserveAt(holder: HolderClient, request: KeyedRequest): Promise<HolderReply> {
    const message = create(ReserveRequestSchema, { ...request });
    try {
      const response = await holder.reserve(message, { timeoutMs: HOLDER_TIMEOUT_MS });
      return { holder, response };
    } catch {
      return { holder, response: undefined };
    }
  }

  #convertReply({ response }: HolderReply): Result<StoredResponse, IdempotencyError> {
    if (response?.state === ReservationState.DONE) {
      if (response.response) return ok(response.response);
      return err(new IdempotencyError(IdempotencyErrorCode.ResponseNotKept));
    }
    const state = response?.state ?? ReservationState.UNSPECIFIED;
    const code = ERROR_CODES[state] ?? IdempotencyErrorCode.HolderUnreachable;
    return err(new IdempotencyError(code));
  }

  async #releaseAll(
    replies: Pick<HolderReply, 'holder'>[],
    { key, owner }: KeyedRequest,
  ): Promise<void> {
    const timeoutMs = HOLDER_TIMEOUT_MS;
    await Promise.allSettled(
      replies.map(({ holder }) => holder.release({ key, owner }, { timeoutMs })),
    );
  }

  #findHolders(key: string): HolderClient[] {
    const { nodeId, dataCentre, getRecords } = this.#options;
    const addresses = new Map(
      getRecords()
        .filter((record) => record.dataCentre === dataCentre)
        .map((record) => [record.nodeId, record.peerAddress]),
    );
    const ranked = rankHolders(key, [...new Set([...addresses.keys(), nodeId])]);
    return ranked.map((id) => (id === nodeId ? this.#local : this.#open(addresses.get(id) ?? '')));
  }

  #open(address: string): HolderClient {
    const known = this.#remote.get(address);
    if (known) return known.client;
    const opened = openTransport(address, { tls: this.#options.tls });
    const client = createClient(IdempotencyService, opened.transport);
    this.#remote.set(address, { opened, client });
    return client;
  }
}
