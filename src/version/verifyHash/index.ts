/** Check of a configuration against its hash. */
import { hashConfiguration } from '../hashConfiguration/index.js';

import type { Configuration } from '../../_generated/foxtailvane/v1/configuration_pb.js';

export type { Configuration } from '../../_generated/foxtailvane/v1/configuration_pb.js';

// A delta is checked when it is applied and again when the result is compiled. Hashing 200 routes is
// most of the cost of an install, so a version that was found right is remembered.
const verified = new WeakSet<Configuration>();

/**
 * Tells whether the content of a configuration matches its hash.
 *
 * @param configuration - must not be changed after the call
 *
 * @example
 * if (!verifyHash(configuration)) refuse(configuration.version);
 */
export const verifyHash = (configuration: Configuration): boolean => {
  if (verified.has(configuration)) return true;
  const isRight = Buffer.compare(hashConfiguration(configuration), configuration.contentHash) === 0;
  if (isRight) verified.add(configuration);
  return isRight;
};
