import { toBinary } from '@bufbuild/protobuf';

import type { DescMessage, Message } from '@bufbuild/protobuf';

/**
 * Encoded rows. Versions of a configuration share the rows that did not change, so the cost of a
 * change grows with its size and not with that of the configuration.
 */
const encodedRows = new WeakMap<Message, Uint8Array>();

/**
 * Encodes a route, service or workspace once.
 *
 * @param schema - schema of the row
 * @param row - must not be modified after the call
 */
const encodeRow = (schema: DescMessage, row: Message): Uint8Array => {
  const known = encodedRows.get(row);
  if (known) return known;
  const encoded = toBinary(schema, row);
  encodedRows.set(row, encoded);
  return encoded;
};

export default encodeRow;
