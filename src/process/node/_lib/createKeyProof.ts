import { createLogger } from '../../log/index.js';

const log = createLogger('keys');

export interface KeyProofOptions {
  /** Age of the last confirmation from which keys are refused; undefined if they never are. */
  maxAgeMs: number | undefined;
  /** Returns the age of the last confirmation, in milliseconds. */
  readAgeMs: () => number;
}

/**
 * Creates the measure of how long a withdrawn key would still be known on this node. A node that is
 * cut off holds an old version, in which keys may be valid that were withdrawn since.
 *
 * @returns reads the time for which keys can be accepted, in milliseconds; not above 0 if they
 *   cannot, Infinity without a limit; logs when that changes
 */
const createKeyProof = ({ maxAgeMs, readAgeMs }: KeyProofOptions): (() => number) => {
  if (maxAgeMs === undefined) return () => Infinity;
  let wasProven = false;
  return () => {
    const ageMs = readAgeMs();
    const leftMs = maxAgeMs - ageMs;
    const isProven = leftMs > 0;
    if (isProven !== wasProven) {
      const facts = { ageMs: Math.round(ageMs), maxAgeMs };
      if (isProven) log.info(facts, 'keys are accepted: the version was confirmed recently');
      else log.warn(facts, 'keys are refused: the version was not confirmed recently');
    }
    wasProven = isProven;
    return leftMs;
  };
};

export default createKeyProof;
