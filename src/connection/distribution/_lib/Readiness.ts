import { err, ok } from 'neverthrow';

import type { Result } from 'neverthrow';
import { createLogger } from '../../../process/log/index.js';
import { NotReadyReason, ReadinessError, ReadyBasis } from '../ReadinessError/index.js';

import type { PeerSurvey } from '../PeerGossip/index.js';

/** What a node knows when it judges whether it can serve. */
export interface ReadinessFacts {
  /** Version in force; 0 for none. */
  heldVersion: number;
  /** Version confirmed by the control VM that the node is attached to. */
  confirmedVersion: number | undefined;
  /** Newest version held by a majority of control VMs, when a majority answered. */
  majorityVersion: number | undefined;
  /** Answers of the peers, when the node is cut off. */
  survey: PeerSurvey | undefined;
  /** Whether the node has waited long enough for a control VM to count as cut off. */
  isCutOff: boolean;
}

const log = createLogger('readiness');

const fail = (code: NotReadyReason, message: string): Result<ReadyBasis, ReadinessError> =>
  err(new ReadinessError(code, message));

const compareWith = (
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

// A node that reaches neither a majority of control VMs nor any peer stays out of service. Nothing
// tells it whether its version is the newest, and serving an older one would revert a change that
// callers have already seen.
const judgePeers = ({
  heldVersion,
  survey,
}: ReadinessFacts): Result<ReadyBasis, ReadinessError> => {
  if (survey === undefined || survey.reachedCount === 0) {
    const message = 'neither a majority of control VMs nor any peer is reachable';
    return fail(NotReadyReason.Isolated, message);
  }
  if (!survey.isSameVersion || heldVersion === 0) {
    const message = `version ${heldVersion} is not held by all ${survey.reachedCount} reachable peers`;
    return fail(NotReadyReason.PeersDiffer, message);
  }
  return ok(ReadyBasis.AllPeers);
};

/**
 * Judges whether a starting node holds the newest version.
 *
 * @returns what the judgement rests on, or why the node must wait
 */
export const judgeReadiness = (facts: ReadinessFacts): Result<ReadyBasis, ReadinessError> => {
  const { heldVersion, confirmedVersion, majorityVersion } = facts;
  if (confirmedVersion !== undefined) {
    return compareWith(heldVersion, confirmedVersion, ReadyBasis.ConfirmedControl);
  }
  if (majorityVersion !== undefined) {
    return compareWith(heldVersion, majorityVersion, ReadyBasis.ControlMajority);
  }
  if (facts.isCutOff) return judgePeers(facts);
  return fail(NotReadyReason.Unconfirmed, 'no control VM has confirmed its version yet');
};

/** Remembers that a node has begun to serve: losing its sources later does not stop it. */
export class Readiness {
  #basis: ReadyBasis | undefined;

  get isReady(): boolean {
    return this.#basis !== undefined;
  }

  /** Judges the facts until the node is ready once; each request asks, so they are not read after. */
  judge(readFacts: () => ReadinessFacts): Result<ReadyBasis, ReadinessError> {
    if (this.#basis !== undefined) return ok(this.#basis);
    const facts = readFacts();
    return judgeReadiness(facts).map((basis) => {
      this.#basis = basis;
      log.info({ version: facts.heldVersion, basis }, 'node is ready to serve');
      return basis;
    });
  }
}
