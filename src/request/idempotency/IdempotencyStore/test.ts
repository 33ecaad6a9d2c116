import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import {
  ReservationState,
  ReserveRequestSchema,
  StoredResponseSchema,
} from '../../../_generated/foxtailvane/v1/idempotency_pb.js';
import { IdempotencyStore } from './index.js';

const RETENTION_MS = 1_000;

const createRequest = (key: string, owner = 'r1') => create(ReserveRequestSchema, { key, owner });

const createResponse = (sizeBytes: number) =>
  create(StoredResponseSchema, { statusCode: 201, body: new Uint8Array(sizeBytes) });

tap.test('a record expires the retention time after its last change', async (t) => {
  const store = new IdempotencyStore({ retentionMs: RETENTION_MS });
  t.equal(store.reserve(createRequest('k1'), 0).state, ReservationState.RESERVED);
  store.complete('k1', 'r1', createResponse(10), 900);
  t.equal(store.reserve(createRequest('k1', 'r2'), 1_899).state, ReservationState.DONE);
  t.equal(store.reserve(createRequest('k1', 'r2'), 1_900).state, ReservationState.RESERVED);
});

tap.test('a full store refuses new keys instead of removing old ones', async (t) => {
  const store = new IdempotencyStore({ retentionMs: RETENTION_MS, maxRecords: 2 });
  store.reserve(createRequest('k1'), 0);
  store.reserve(createRequest('k2'), 0);
  t.equal(store.reserve(createRequest('k3'), 0).state, ReservationState.FULL);
  t.equal(store.reserve(createRequest('k1', 'r2'), 0).state, ReservationState.IN_USE);
  store.release('k1', 'r1');
  t.equal(store.reserve(createRequest('k3'), 0).state, ReservationState.RESERVED);
});

tap.test('stored responses use bounded memory; without space the key stays reserved', async (t) => {
  const store = new IdempotencyStore({ retentionMs: RETENTION_MS, maxBytes: 100 });
  ['k1', 'k2'].forEach((key) => {
    store.reserve(createRequest(key), 0);
    store.complete(key, 'r1', createResponse(80), 0);
  });
  t.equal(store.sizeBytes, 80);
  t.equal(store.reserve(createRequest('k1', 'r2'), 0).response?.body.length, 80);
  const second = store.reserve(createRequest('k2', 'r2'), 0);
  t.equal(second.state, ReservationState.DONE);
  t.equal(second.response, undefined);
  store.expire(RETENTION_MS);
  t.equal(store.sizeBytes, 0);
  t.equal(store.size, 0);
});

tap.test('only the request that holds a key can release or complete it', async (t) => {
  const store = new IdempotencyStore({ retentionMs: RETENTION_MS });
  store.reserve(createRequest('k1'), 0);
  store.release('k1', 'r2');
  store.complete('k1', 'r2', createResponse(1), 0);
  t.equal(store.reserve(createRequest('k1', 'r3'), 0).state, ReservationState.IN_USE);
  store.complete('k1', 'r1', createResponse(1), 0);
  store.release('k1', 'r1');
  t.equal(store.reserve(createRequest('k1', 'r3'), 0).state, ReservationState.DONE);
});
