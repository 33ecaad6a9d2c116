import type { Instant } from './ConfirmationProof.js';

/** Above the error of setting a clock gradually, and far below any lease. */
const MAX_GAP_MS = 500;

/**
 * Detects that a control VM was suspended while its steady clock stood still.
 *
 * A lease that is measured by that clock seems valid after the suspension, although another leader may
 * have accepted versions since. Such a control VM must not vouch for its version until a lease has
 * passed: one that is still valid then was granted afterwards.
 */
class PauseGuard {
  readonly #leaseMs: number;

  #offsetMs: number | undefined;

  #waitsUntilMs = -Infinity;

  /** @param leaseMs - longest time for which a lease of the replicated log is valid */
  constructor(leaseMs: number) {
    this.#leaseMs = leaseMs;
  }

  /**
   * Returns whether the leases of this process can be relied on. A time of day that was set forward is
   * taken for a suspension too. Must be called more often than once per lease.
   */
  canRelyOnLease({ steadyMs, wallMs }: Instant): boolean {
    const offsetMs = wallMs - steadyMs;
    const gapMs = offsetMs - (this.#offsetMs ?? offsetMs);
    if (gapMs > MAX_GAP_MS) this.#waitsUntilMs = steadyMs + this.#leaseMs;
    this.#offsetMs = offsetMs;
    return steadyMs >= this.#waitsUntilMs;
  }
}

export default PauseGuard;
