import { fromJson } from '@bufbuild/protobuf';

import type { JsonValue } from '@bufbuild/protobuf';
import { ConfigurationSchema } from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import CommandError from '../CommandError.js';
import ExitCode from '../ExitCode.js';
import { describeExchange } from './fetchResource.js';

import type { Configuration } from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import type { OperatorClient } from './OperatorClient.js';

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

/**
 * Gets the accepted configuration from the first control VM that responds.
 *
 * @param client - client of the control VMs
 * @returns the configuration, or undefined if no version has been accepted yet
 * @throws CommandError if no control VM returns it
 */
const fetchCommittedConfiguration = async (
  client: OperatorClient,
): Promise<Configuration | undefined> => {
  const exchanges = await client.get('/v1/configuration');
  const last = exchanges.at(-1);
  if (last?.status === HTTP_NOT_FOUND) return undefined;
  const body = last?.body as { configuration?: JsonValue } | undefined;
  if (last?.status !== HTTP_OK || body?.configuration === undefined) {
    throw new CommandError(ExitCode.Refused, exchanges.map(describeExchange));
  }
  return fromJson(ConfigurationSchema, body.configuration);
};

export default fetchCommittedConfiguration;
