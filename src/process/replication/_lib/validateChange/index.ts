import { create, toBinary } from '@bufbuild/protobuf';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import { ConfigurationSchema } from '../../../../_generated/foxtailvane/v1/configuration_pb.js';
import { AcceptedVersionSchema } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type { AcceptedVersion } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import { hashConfiguration } from '../../../../version/hashConfiguration/index.js';
import type { ConfigurationChange } from '../../ControlLog/index.js';

/**
 * Validates a change and encodes it for the log. Version and content hash are checked again here,
 * because conflicts are detected by comparing them.
 *
 * @param change - the change; the caller has validated its rows
 * @param nowMs - time of acceptance, in milliseconds since the epoch
 * @param maxBytes - limit of the encoded configuration, in bytes
 * @returns the content of the log entry, or the reason why the change is invalid
 */
const validateChange = (
  change: ConfigurationChange,
  nowMs: number,
  maxBytes: number,
): Result<AcceptedVersion, string> => {
  const { configuration, operator, requestId } = change;
  const { version, contentHash } = configuration;
  if (version === 0) return err('the version number must be at least 1');
  if (requestId === '') return err('the request id is empty');
  if (Buffer.compare(contentHash, hashConfiguration(configuration)) !== 0) {
    return err('the content hash does not match the content');
  }
  const encoded = toBinary(ConfigurationSchema, configuration);
  if (encoded.length > maxBytes) {
    return err(`the configuration has ${encoded.length} bytes; at most ${maxBytes} are accepted`);
  }
  return ok(
    create(AcceptedVersionSchema, {
      version,
      contentHash,
      operator,
      requestId,
      acceptedAtMs: BigInt(Math.max(0, Math.floor(nowMs))),
      configuration: encoded,
      ...(change.baseVersion !== undefined && { baseVersion: change.baseVersion }),
      ...(change.document && { document: change.document }),
    }),
  );
};

export default validateChange;
