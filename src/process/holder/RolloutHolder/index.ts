/** Holds the roll-outs that a node uses. */
import { createLogger } from '../../log/index.js';

import type { RolloutSet } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';

const log = createLogger('rollouts');

/** Called after a newer set was adopted. */
export type RolloutListener = (set: RolloutSet) => void;

/**
 * Holds the newest set of roll-outs. A set may arrive from a control VM that is behind or from a peer
 * that was cut off, so an older one is never adopted: it could use a version that was rolled back.
 */
export class RolloutHolder {
  #current: RolloutSet | undefined;

  readonly #listeners = new Set<RolloutListener>();

  /** Returns the newest set; undefined before the first one. */
  current(): RolloutSet | undefined {
    return this.#current;
  }

  /**
   * Adopts a set that is newer than the held one.
   *
   * @param set - must not be modified after the call
   * @returns whether the set was adopted
   */
  adopt(set: RolloutSet): boolean {
    if (this.#current !== undefined && set.revision <= this.#current.revision) return false;
    this.#current = set;
    const { revision, rollouts } = set;
    if (rollouts.length > 0) log.info({ revision, count: rollouts.length }, 'adopted roll-outs');
    this.#listeners.forEach((listener) => listener(set));
    return true;
  }

  /**
   * Calls the listener after each adopted set.
   *
   * @returns a function that removes the listener
   */
  onAdopted(listener: RolloutListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
