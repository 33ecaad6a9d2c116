import { createHash } from 'node:crypto';

import type { NodeRecord } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';

/** Short, because a collision only delays the comparison of records until the next change. */
const DIGEST_BYTES = 8;

/**
 * Computes a digest of incarnation and sequence of all records, independent of their order.
 *
 * @returns 8 bytes
 */
const digestRecords = (records: NodeRecord[]): Uint8Array => {
  const stamps = records.map(
    (record) => `${record.nodeId}\n${record.incarnation}\n${record.sequence}`,
  );
  const hash = createHash('sha256').update(stamps.toSorted().join('\n\n'));
  return hash.digest().subarray(0, DIGEST_BYTES);
};

export default digestRecords;
