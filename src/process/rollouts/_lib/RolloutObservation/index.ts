import { RolloutStage } from '../../../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { Rollout } from '../../../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { EvidenceIncrement, NodeCounts } from '../../EvidenceTracker/index.js';
import { VersionComparison } from '../../VersionComparison/index.js';
import type { RouteIncrement, Verdict } from '../../VersionComparison/index.js';
import { COUNTED_BAD_ANSWERS } from '../../decideRollout/index.js';
import type { RolloutLimits, RolloutSituation } from '../../decideRollout/index.js';
import type { RolloutPlan } from '../../planRollout/index.js';
import { addTally, createTally } from '../tally/index.js';

/** Returns the time since a moment; undefined if it has not come. */
const computeAge = (sinceMs: number | undefined, nowMs: number): number | undefined =>
  sinceMs === undefined ? undefined : nowMs - sinceMs;

const toProcessKey = ({ nodeId, incarnation }: NodeCounts): string => `${nodeId}@${incarnation}`;

/** What one control VM knows about a roll-out in progress; times are on its steady clock. */
class RolloutObservation {
  readonly #orderedAtMs: number;

  readonly #comparison = new VersionComparison();

  #rollout: Rollout;

  #stepAtMs: number;

  #targetSeenAtMs: number | undefined;

  #manyFailuresAtMs: number | undefined;

  /** Time from which on a node process has had the last step in force. */
  #inForceAtMs = new Map<string, number>();

  /** Node processes that served before the last step; undefined until their first check. */
  #knownProcesses: Set<string> | undefined;

  #inForceSinceMs: number | undefined;

  #verdict: Verdict;

  /** @param ageMs - time since the order, in milliseconds */
  constructor(rollout: Rollout, nowMs: number, ageMs: number) {
    this.#rollout = rollout;
    this.#orderedAtMs = nowMs - ageMs;
    this.#stepAtMs = nowMs;
    this.#verdict = this.#comparison.verdict();
  }

  get rollout(): Rollout {
    return this.#rollout;
  }

  get verdict(): Verdict {
    return this.#verdict;
  }

  /** Notes the state after a step. */
  setRollout(rollout: Rollout, nowMs: number): void {
    if (rollout.step === this.#rollout.step) return;
    this.#rollout = rollout;
    this.#stepAtMs = nowMs;
    this.#inForceAtMs = new Map();
    this.#knownProcesses = undefined;
    this.#inForceSinceMs = undefined;
  }

  /** Notes that a server of the target version is live. */
  noteTarget(nowMs: number): void {
    this.#targetSeenAtMs ??= nowMs;
  }

  /**
   * Checks whether every node that is not lost has the last step in force. A node that started after
   * the step had it before its first request, so its start does not begin the time anew. Without any
   * live node nothing is known.
   *
   * @param liveNodeIds - nodes that are not lost
   * @param reports - the newest report of each node
   * @param changeIndex - revision that contains the step
   */
  checkInForce(
    liveNodeIds: string[],
    reports: readonly NodeCounts[],
    changeIndex: number,
    nowMs: number,
  ): void {
    const processes = new Map(reports.map((node) => [node.nodeId, node]));
    this.#knownProcesses ??= new Set(reports.map(toProcessKey));
    const timesMs = liveNodeIds.map((nodeId) => {
      const node = processes.get(nodeId);
      if (!node || node.rolloutRevision < changeIndex) return Infinity;
      const key = toProcessKey(node);
      const sinceMs = this.#knownProcesses?.has(key) ? nowMs : this.#stepAtMs;
      if (!this.#inForceAtMs.has(key)) this.#inForceAtMs.set(key, sinceMs);
      return this.#inForceAtMs.get(key) ?? nowMs;
    });
    const lastMs = timesMs.reduce((latest, timeMs) => Math.max(latest, timeMs), this.#stepAtMs);
    const isComplete = liveNodeIds.length > 0 && Number.isFinite(lastMs);
    this.#inForceSinceMs = isComplete ? lastMs : undefined;
  }

  /** Adds what the nodes have counted for the service since the last call. */
  addEvidence(increments: EvidenceIncrement[], plan: RolloutPlan, nowMs: number): void {
    const byRoute = new Map<string, RouteIncrement>();
    increments.forEach((increment) => {
      const { route, softwareVersion } = increment;
      const sums = byRoute.get(route) ?? { route, target: createTally(), others: createTally() };
      byRoute.set(route, sums);
      const isTarget = softwareVersion === this.#rollout.targetVersion;
      addTally(isTarget ? sums.target : sums.others, increment);
    });
    const targetAgeMs = computeAge(this.#targetSeenAtMs, nowMs) ?? Infinity;
    const comparesDurations = targetAgeMs >= plan.warmUpMs;
    const isPromoted = this.#rollout.stage === RolloutStage.PROMOTING;
    this.#comparison.add([...byRoute.values()], { comparesDurations, isPromoted }, nowMs);
    this.#verdict = this.#comparison.verdict();
    if (this.#verdict.targetFailures >= COUNTED_BAD_ANSWERS) this.#manyFailuresAtMs ??= nowMs;
  }

  /** Returns what the decision depends on. */
  describe(plan: RolloutPlan, limits: RolloutLimits, nowMs: number): RolloutSituation {
    return {
      rollout: this.#rollout,
      plan,
      limits,
      ageMs: nowMs - this.#orderedAtMs,
      stepAgeMs: nowMs - this.#stepAtMs,
      targetAgeMs: computeAge(this.#targetSeenAtMs, nowMs),
      verdict: this.#verdict,
      manyFailuresForMs: computeAge(this.#manyFailuresAtMs, nowMs),
      inForceForMs: computeAge(this.#inForceSinceMs, nowMs),
    };
  }
}

export default RolloutObservation;
