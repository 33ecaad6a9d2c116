import { err, ok } from 'neverthrow';

import type { Result } from 'neverthrow';
import { createLogger } from '../../../process/log/index.js';
import { NotReadyReason, ReadinessError, ReadyBasis } from '../ReadinessError/index.js';

import type { PeerPollResult } from '../PeerGossip/index.js';

/** Inputs of the readiness check of a node. */
export interface ReadinessInputs {
  /** Version in force; 0 for none. */
  heldVersion: number;
  /** Version confirmed by the control VM that the node is attached to. */
  confirmedVersion: number | undefined;
  /** Newest version held by a majority of control VMs, when a majority answered. */
  majorityVersion: number | undefined;
  /** Responses of the peers, which are requested only without a reachable control VM. */
  peerResult: PeerPollResult | undefined;
  /** Whether the time to wait for a control VM after the start has passed. */
  isControlWaitOver: boolean;
}

const log = createLogger('readiness');

const fail = (code: NotReadyReason, message: string): Result<ReadyBasis, ReadinessError> =>
  err(new ReadinessError(code, message));

const compareVersions = (
  heldVersion: number,
  newestVersion: number,
  basis: ReadyBasis,
): Result<ReadyBasis, ReadinessError> => {
  if (newestVersion === 0 && heldVersion === 0) {
    return fail(NotReadyReason.NothingAccepted, 'no version has been accepted yet');
  }
  if (heldVersion < newestVersion) {
    const message = `version ${newestVersion} is confirmed, but version ${heldVersion} is in force`;
    return fail(NotReadyReason.Behind, message);
  }
  return ok(basis);
};

// A node that reaches neither a majority of control VMs nor any peer must not serve: it cannot verify
// that its version is the newest, and an older one would revert changes already visible to callers.
const evaluatePeers = ({
  heldVersion,
  peerResult,
}: ReadinessInputs): Result<ReadyBasis, ReadinessError> => {
  if (peerResult === undefined || peerResult.reachedCount === 0) {
    const message = 'neither a majority of control VMs nor any peer is reachable';
    return fail(NotReadyReason.Isolated, message);
  }
  if (!peerResult.isSameVersion || heldVersion === 0) {
    const message = `version ${heldVersion} is not held by all ${peerResult.reachedCount} reachable peers`;
    return fail(NotReadyReason.PeersDiffer, message);
  }
  return ok(ReadyBasis.AllPeers);
};

/**
 * Checks whether a starting node holds the newest version.
 *
 * @returns the evidence that it does, or why the node must wait
 */
export const evaluateReadiness = (inputs: ReadinessInputs): Result<ReadyBasis, ReadinessError> => {
  const { heldVersion, confirmedVersion, majorityVersion } = inputs;
  if (confirmedVersion !== undefined) {
    return compareVersions(heldVersion, confirmedVersion, ReadyBasis.ConfirmedControl);
  }
  if (majorityVersion !== undefined) {
    return compareVersions(heldVersion, majorityVersion, ReadyBasis.ControlMajority);
  }
  if (inputs.isControlWaitOver) return evaluatePeers(inputs);
  return fail(NotReadyReason.Unconfirmed, 'no control VM has confirmed the newest version yet');
};

/** Readiness of a node. It is permanent: a ready node continues to serve without control VMs. */
export class Readiness {
  #basis: ReadyBasis | undefined;

  get isReady(): boolean {
    return this.#basis !== undefined;
  }

  /**
   * Evaluates the inputs until the node is ready. They are not read afterwards, because this function
   * runs for each request.
   */
  evaluate(readInputs: () => ReadinessInputs): Result<ReadyBasis, ReadinessError> {
    if (this.#basis !== undefined) return ok(this.#basis);
    const inputs = readInputs();
    return evaluateReadiness(inputs).map((basis) => {
      this.#basis = basis;
      log.info({ version: inputs.heldVersion, basis }, 'node is ready to serve');
      return basis;
    });
  }
}
