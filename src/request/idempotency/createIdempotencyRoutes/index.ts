import { create } from '@bufbuild/protobuf';

import type { ConnectRouter } from '@connectrpc/connect';
import {
  CompleteResponseSchema,
  IdempotencyService,
  ReleaseResponseSchema,
} from '../../../_generated/foxtailvane/v1/idempotency_pb.js';

import type { RecordCompleteness } from '../RecordCompleteness/index.js';
import type { IdempotencyStore } from '../IdempotencyStore/index.js';

export interface IdempotencyRoutesOptions {
  store: IdempotencyStore;
  completeness: RecordCompleteness;
  /** Reads the clock, in milliseconds since the epoch. */
  getNowMs: () => number;
}

/**
 * Creates the routes of `IdempotencyService` for the listener of other nodes.
 *
 * @param options - records that this node holds, and clock
 *
 * @example
 * connectNodeAdapter({ routes: createIdempotencyRoutes(options) });
 */
export const createIdempotencyRoutes =
  ({ store, completeness, getNowMs }: IdempotencyRoutesOptions) =>
  (router: ConnectRouter): void => {
    router.service(IdempotencyService, {
      reserve: (request) => {
        const nowMs = getNowMs();
        const response = store.reserve(request, nowMs);
        response.warm = completeness.isComplete(request.key, nowMs);
        return response;
      },
      complete: (request) => {
        store.complete(request.key, request.owner, request.response, getNowMs());
        return create(CompleteResponseSchema);
      },
      release: (request) => {
        store.release(request.key, request.owner);
        return create(ReleaseResponseSchema);
      },
    });
  };
