import { deflateRawSync, inflateRawSync } from 'node:zlib';

import { create, toBinary } from '@bufbuild/protobuf';
import tap from 'tap';

import { buildSizedConfiguration } from '../../../../../stand-ins/configurations/index.js';
import { ConfigurationSchema } from '../../../../_generated/foxtailvane/v1/configuration_pb.js';
import {
  AcceptedVersionSchema,
  VersionDeltaSchema,
} from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type { AcceptedVersion } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import { applyVersionDelta, createVersionDelta } from './index.js';

const createVersion = (
  version: number,
  firstTimeoutMs: number,
  routes = 1_000,
): AcceptedVersion => {
  const configuration = buildSizedConfiguration(version, { routes, firstTimeoutMs });
  const document = JSON.stringify({
    version,
    routes: configuration.routes.map(({ name }) => name),
  });
  return create(AcceptedVersionSchema, {
    version,
    contentHash: configuration.contentHash,
    operator: 'operator-1',
    requestId: `request-${version}`,
    acceptedAtMs: 5n,
    configuration: toBinary(ConfigurationSchema, configuration),
    baseVersion: version - 1,
    document: deflateRawSync(document),
  });
};

const readDocument = ({ document }: AcceptedVersion): string => inflateRawSync(document).toString();

const encodeHead = (version: AcceptedVersion): string =>
  Buffer.from(
    toBinary(AcceptedVersionSchema, {
      ...version,
      configuration: new Uint8Array(0),
      document: new Uint8Array(0),
    }),
  ).toString('hex');

tap.test('a delta is small and leads to the version with its document', async (t) => {
  const base = createVersion(1, 400);
  const target = createVersion(2, 900);
  const delta = await createVersionDelta(base, target);
  if (!delta) throw new Error('no delta');
  t.ok(toBinary(VersionDeltaSchema, delta).length < target.configuration.length / 50);
  const applied = (await applyVersionDelta(base, delta)).unwrapOr(base);
  t.same(encodeHead(applied), encodeHead(target));
  t.equal(Buffer.compare(applied.configuration, target.configuration), 0);
  t.equal(readDocument(applied), readDocument(target));
});

// Guards against a follower whose base differs from that of the leader, and against altered messages.
tap.test('a delta for another base and an altered delta are refused', async (t) => {
  const delta = await createVersionDelta(createVersion(1, 400), createVersion(2, 900));
  if (!delta) throw new Error('no delta');
  t.ok((await applyVersionDelta(createVersion(1, 400, 999), delta)).isErr());
  t.ok((await applyVersionDelta(create(AcceptedVersionSchema), delta)).isErr());
  const digest = delta.digest.with(0, 255 - (delta.digest[0] ?? 0));
  t.ok((await applyVersionDelta(createVersion(1, 400), { ...delta, digest })).isErr());
});

tap.test('a version that shares little with its base is sent whole', async (t) => {
  const base = create(AcceptedVersionSchema, { configuration: Buffer.alloc(4_000, 'a') });
  const target = create(AcceptedVersionSchema, { configuration: Buffer.alloc(4_000, 'b') });
  t.equal(await createVersionDelta(base, target), undefined);
  const undecodable = create(AcceptedVersionSchema, { ...base, document: Buffer.from([255, 255]) });
  t.equal(await createVersionDelta(base, undecodable), undefined);
});
