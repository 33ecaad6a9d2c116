import { create, toBinary } from '@bufbuild/protobuf';
import tap from 'tap';

import { createTestReplica } from '../../../../../stand-ins/createTestReplica/index.js';
import {
  AcceptedVersionSchema,
  LogChangeSchema,
} from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import { decodeEntry } from '../EntryLog/index.js';
import type { LogEntry } from '../EntryLog/index.js';

const createEntry = (version: number): LogEntry => {
  // Bytes that are no configuration: decoding them would throw.
  const value = create(AcceptedVersionSchema, { version, configuration: Buffer.from([255]) });
  const change = create(LogChangeSchema, { change: { case: 'accepted', value } });
  return decodeEntry({ index: version, term: 1, payload: toBinary(LogChangeSchema, change) });
};

// Guards against a restarted control VM that decodes the configuration of each entry in its log before
// it answers the first request; with large configurations its lease ran out meanwhile.
tap.test('committed versions are announced without decoding their configurations', async (t) => {
  const { replica } = await createTestReplica();
  const versions = Array.from({ length: 60 }, (_, position) => position + 1);
  const seen: number[] = [];
  replica.onCommitted(({ holder }) => seen.push(holder.version));
  replica.replaceFrom(versions.map(createEntry));
  replica.commitTo(60);
  t.same(seen, versions);
});
