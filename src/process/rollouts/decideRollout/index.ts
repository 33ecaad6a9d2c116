/** Decides the next step of a roll-out. */
import { RolloutStage } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { Rollout } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import { SETTLE_MS } from '../planRollout/index.js';
import type { RolloutPlan } from '../planRollout/index.js';
import type { Verdict } from '../VersionComparison/index.js';

const PERMILLE = 1_000;

/** Part of the exposure that operators allow which is used until a version is found good. */
const USED_EXPOSURE = 0.8;

/** The first share relative to the later one; limits the bad answers before the first verdict. */
const FIRST_SHARE = 0.5;

/** Canary time below which the first share would leave too few requests for a verdict. */
const MIN_CANARY_WITH_FIRST_SHARE_MS = 8_000;

/** Share of a version that was found good, beside which the others still show what is usual. */
const RAMP_SHARE_PERMILLE = 300;

/** A version that fails a fifth of its requests passes so many without a failure once in 15. */
const MIN_REQUESTS = 12;

/** Part of the limit of a test below which nothing suspicious was seen. */
const CLEAR_SUSPICION = 0.4;

/** Bad answers from which on operators count the time until a bad version gets no more requests. */
export const COUNTED_BAD_ANSWERS = 50;

/** Part of that time after which a version that fails a little more than the others is taken back. */
const WEAK_EVIDENCE_PART = 0.4;

/** Excess of the portion of failures that is little but, with so many answers, not by chance. */
const WEAK_EXCESS = 0.03;

/** Time before the deadline at which the last step must be on its way to the nodes. */
const LAST_STEP_MS = 300;

/** What operators guarantee about roll-outs. */
export interface RolloutLimits {
  /** Part of a service's requests that a bad version may get, from 0 to 1. */
  exposedShare: number;
  /** Requests beyond that part. */
  exposedSlack: number;
  /** Time after the 50th bad answer within which a bad version gets no more requests. */
  rollbackMs: number;
}

/** All that the decision depends on. */
export interface RolloutSituation {
  rollout: Rollout;
  plan: RolloutPlan;
  limits: RolloutLimits;
  /** Time since the order, in milliseconds. */
  ageMs: number;
  /** Time since the last step, in milliseconds. */
  stepAgeMs: number;
  /** Time since a server of the target version was first seen; undefined if none was. */
  targetAgeMs: number | undefined;
  verdict: Verdict;
  /** Time since the 50th failure of the version; undefined before it. */
  manyFailuresForMs: number | undefined;
  /** Time for which every node that is not lost has had the last step in force; undefined if not. */
  inForceForMs: number | undefined;
}

export interface RolloutStep {
  stage: RolloutStage;
  sharePermille: number;
  /** Why the step is taken, with the evidence. */
  reason: string;
}

const rollBack = (reason: string): RolloutStep => ({
  stage: RolloutStage.ROLLED_BACK,
  sharePermille: 0,
  reason,
});

const useShare = (sharePermille: number, reason: string): RolloutStep => ({
  stage: RolloutStage.CANARY,
  sharePermille,
  reason,
});

const promote = (reason: string): RolloutStep => ({
  stage: RolloutStage.PROMOTING,
  sharePermille: PERMILLE,
  reason,
});

/** Explains why a version cannot be called good; empty if it can. */
const findDoubt = ({ suspicion, targetRequests, untestedRoutes }: Verdict): string => {
  if (targetRequests < MIN_REQUESTS) {
    return `${targetRequests} requests reached the version, ${MIN_REQUESTS} are needed`;
  }
  if (suspicion >= CLEAR_SUSPICION) return 'the evidence against the version is not settled';
  return untestedRoutes.length > 0 ? `untested routes: ${untestedRoutes.join(', ')}` : '';
};

const computeShares = ({ limits, plan }: RolloutSituation): { first: number; later: number } => {
  const later = Math.floor(limits.exposedShare * USED_EXPOSURE * PERMILLE);
  const hasFirst = plan.promoteByMs >= MIN_CANARY_WITH_FIRST_SHARE_MS;
  return { first: hasFirst ? Math.ceil(later * FIRST_SHARE) : later, later };
};

/** Whether a version not yet found good has had more requests than it may, with half of the slack. */
const isOverexposed = ({ limits, verdict }: RolloutSituation): boolean => {
  const { targetRequests, otherRequests } = verdict;
  const allowed = limits.exposedShare * (targetRequests + otherRequests);
  return targetRequests > allowed + limits.exposedSlack / 2;
};

/** Whether a version has failed for long and above the others, though below what the tests look for. */
const isWeaklyBad = ({ limits, verdict, manyFailuresForMs = -1 }: RolloutSituation): boolean => {
  const { targetRequests, targetFailures, otherRequests, otherFailures } = verdict;
  const others = otherFailures / Math.max(1, otherRequests);
  return (
    manyFailuresForMs >= limits.rollbackMs * WEAK_EVIDENCE_PART &&
    targetFailures / Math.max(1, targetRequests) > others + WEAK_EXCESS
  );
};

/** Starts the exposure once servers of the version have warmed up, or had the time for it. */
const decideFirstShare = (situation: RolloutSituation): RolloutStep | undefined => {
  const { plan, ageMs, targetAgeMs = 0 } = situation;
  if (isOverexposed(situation)) return undefined;
  if (targetAgeMs >= plan.warmUpMs) {
    return useShare(computeShares(situation).first, 'servers of the version have warmed up');
  }
  return ageMs >= plan.warmUpMs * 2
    ? useShare(computeShares(situation).first, 'the time to warm up is over')
    : undefined;
};

const decideCanary = (situation: RolloutSituation): RolloutStep | undefined => {
  const { rollout, plan, ageMs, stepAgeMs, verdict } = situation;
  const { sharePermille } = rollout;
  const { later } = computeShares(situation);
  const doubt = findDoubt(verdict);
  const isGood = doubt === '' && ageMs >= plan.judgeFromMs && stepAgeMs >= SETTLE_MS;
  if (ageMs >= plan.promoteByMs) {
    // Untested routes alone do not stop a version; it goes on being watched while it is promoted.
    const isTested = verdict.targetRequests >= MIN_REQUESTS && verdict.suspicion < CLEAR_SUSPICION;
    return isTested
      ? promote(`no time left to observe; ${verdict.evidence}`)
      : rollBack(`no verdict in time: ${doubt}; ${verdict.evidence}`);
  }
  if (sharePermille === 0) return decideFirstShare(situation);
  if (sharePermille <= later && isOverexposed(situation)) {
    return useShare(0, `more requests than the share allows; ${verdict.evidence}`);
  }
  if (sharePermille > later) {
    return stepAgeMs >= plan.rampMs && doubt === ''
      ? promote(`found good beside the others; ${verdict.evidence}`)
      : undefined;
  }
  if (isGood) {
    return plan.rampMs > 0
      ? useShare(RAMP_SHARE_PERMILLE, `found good; ${verdict.evidence}`)
      : promote(`found good; ${verdict.evidence}`);
  }
  const canRaise = sharePermille < later && stepAgeMs >= 2 * SETTLE_MS;
  return canRaise && verdict.targetRequests > 0 && verdict.suspicion < CLEAR_SUSPICION
    ? useShare(later, `nothing suspicious; ${verdict.evidence}`)
    : undefined;
};

/** Completes once no request can be at the old servers any more, which then stop at once. */
const decidePromoting = (situation: RolloutSituation): RolloutStep | undefined => {
  const { plan, verdict, inForceForMs = -1 } = situation;
  if (inForceForMs < plan.drainMs) return undefined;
  const reason = `in force at all nodes for ${Math.round(inForceForMs)} ms; ${verdict.evidence}`;
  return { stage: RolloutStage.COMPLETED, sharePermille: PERMILLE, reason };
};

/**
 * Decides the next step. A version is exposed to a share below the allowed one for as long as the
 * duration permits, then to more of the requests beside the others, then to all of them. It is taken
 * back at any stage once it is found bad, and when a verdict or the completion cannot be reached in
 * time, since the old servers are known to be good.
 *
 * @param situation - state of the roll-out, its age on a steady clock, and the evidence
 * @returns undefined if there is nothing to do at present
 */
export const decideRollout = (situation: RolloutSituation): RolloutStep | undefined => {
  const { rollout, ageMs, verdict } = situation;
  const { stage, durationMs } = rollout;
  if (stage !== RolloutStage.CANARY && stage !== RolloutStage.PROMOTING) return undefined;
  if (verdict.isBad) return rollBack(`found bad; ${verdict.evidence}`);
  if (isWeaklyBad(situation)) {
    return rollBack(`${COUNTED_BAD_ANSWERS} failures, above the others; ${verdict.evidence}`);
  }
  const next = stage === RolloutStage.CANARY ? decideCanary(situation) : decidePromoting(situation);
  const isLate = ageMs >= durationMs - LAST_STEP_MS;
  if (!isLate || next?.stage === RolloutStage.ROLLED_BACK) return next;
  return next?.stage === RolloutStage.COMPLETED && ageMs < durationMs
    ? next
    : rollBack(`not completed within ${durationMs} ms; ${verdict.evidence}`);
};
