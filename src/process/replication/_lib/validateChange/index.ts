import { create, toBinary } from '@bufbuild/protobuf';
import { Result, err } from 'neverthrow';

import { ConfigurationSchema } from '../../../../_generated/foxtailvane/v1/configuration_pb.js';
import type { Configuration } from '../../../../_generated/foxtailvane/v1/configuration_pb.js';
import { AcceptedVersionSchema } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type { AcceptedVersion } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import { compileConfiguration } from '../../../../version/compileConfiguration/index.js';
import type { ConfigurationChange } from '../../ControlLog/index.js';

/** The encoder throws on numbers that the type of a field cannot hold. */
const encodeConfiguration = Result.fromThrowable(
  (configuration: Configuration) => toBinary(ConfigurationSchema, configuration),
  (error) => `the configuration cannot be encoded: ${String(error)}`,
);

/**
 * Validates a change and encodes it for the log. The check is that of the nodes themselves, since a
 * version that they refuse must not be acknowledged.
 *
 * @param change - the change
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
  if (requestId === '') return err('the request id is empty');
  return encodeConfiguration(configuration).andThen((encoded) => {
    if (encoded.length > maxBytes) {
      return err(`the configuration has ${encoded.length} bytes; at most ${maxBytes} are accepted`);
    }
    const createEntry = (): AcceptedVersion =>
      create(AcceptedVersionSchema, {
        version,
        contentHash,
        operator,
        requestId,
        acceptedAtMs: BigInt(Math.max(0, Math.floor(nowMs))),
        configuration: encoded,
        ...(change.baseVersion !== undefined && { baseVersion: change.baseVersion }),
        ...(change.document && { document: change.document }),
      });
    return compileConfiguration(configuration)
      .map(createEntry)
      .mapErr(({ message }) => message);
  });
};

export default validateChange;
