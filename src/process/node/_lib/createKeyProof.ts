import { createLogger } from '../../log/index.js';

const log = createLogger('keys');

export interface KeyProofOptions {
  /** Age of the last confirmation from which keys are refused; undefined if they never are. */
  maxAgeMs: number | undefined;
  /** Returns the age of the last confirmation, in milliseconds. */
  readAgeMs: () => number;
}

/**
 * Creates the check whether a withdrawn key would be known on this node. A node that is cut off holds
 * an old version, in which keys may be valid that were withdrawn since.
 *
 * @returns the check; logs when its result changes
 */
const createKeyProof = ({ maxAgeMs, readAgeMs }: KeyProofOptions): (() => boolean) => {
  if (maxAgeMs === undefined) return () => true;
  let wasProven = false;
  return () => {
    const ageMs = readAgeMs();
    const isProven = ageMs < maxAgeMs;
    if (isProven !== wasProven) {
      const facts = { ageMs: Math.round(ageMs), maxAgeMs };
      if (isProven) log.info(facts, 'keys are accepted: the version was confirmed recently');
      else log.warn(facts, 'keys are refused: the version was not confirmed recently');
    }
    wasProven = isProven;
    return isProven;
  };
};

export default createKeyProof;
