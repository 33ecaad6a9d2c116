/** Verifies the content hash of a configuration. */
import { hashConfiguration } from '../hashConfiguration/index.js';

import type { Configuration } from '../../_generated/foxtailvane/v1/configuration_pb.js';

export type { Configuration } from '../../_generated/foxtailvane/v1/configuration_pb.js';

// The hash is verified when a delta is applied and again when the result is compiled. Hashing 200
// routes is most of the cost of an installation, so configurations that passed are cached.
const verifiedConfigurations = new WeakSet<Configuration>();

/**
 * Returns whether the content of a configuration matches its hash.
 *
 * @param configuration - must not be modified after the call, because a positive result is cached
 *
 * @example
 * if (!verifyHash(configuration)) refuse(configuration.version);
 */
export const verifyHash = (configuration: Configuration): boolean => {
  if (verifiedConfigurations.has(configuration)) return true;
  const isMatch = Buffer.compare(hashConfiguration(configuration), configuration.contentHash) === 0;
  if (isMatch) verifiedConfigurations.add(configuration);
  return isMatch;
};
