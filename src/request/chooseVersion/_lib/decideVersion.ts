import { RolloutStage } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';

import type { Rollout } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';

/** Why requests are sent to the servers of a version. */
export enum VersionReason {
  /** All servers have the same version, and there is no roll-out. */
  AnyVersion = 'ANY_VERSION',
  /** Several versions without a roll-out: the one that has been serving longest. */
  LongestServing = 'LONGEST_SERVING',
  /** The request is part of the share of the target version. */
  Canary = 'CANARY',
  /** The request is not part of the share of the target version. */
  OutsideShare = 'OUTSIDE_SHARE',
  Promoted = 'PROMOTED',
  /** The target version is promoted, but has no live server. */
  NoTargetServer = 'NO_TARGET_SERVER',
  Completed = 'COMPLETED',
}

export interface VersionFacts {
  /** Roll-outs of the service, the newest of each target version. */
  rollouts: readonly Rollout[];
  /** Stated versions of the live servers, each with the earliest start of a server in milliseconds. */
  startsByVersion: ReadonlyMap<string, number>;
  /** Version used outside of shares so far; undefined at first. */
  formerBase: string | undefined;
  /** Whether the request may use a share of a roll-out. */
  canExpose: boolean;
}

export interface VersionDecision {
  /** Version to use; undefined when none may be used or any may. */
  softwareVersion: string | undefined;
  reason: VersionReason;
  /** Whether servers that state no version may be used. */
  allowsUnstated: boolean;
  /** Version used outside of shares; undefined when there is no live server of one. */
  base: string | undefined;
  /** The roll-out whose share the request uses. */
  exposure: Rollout | undefined;
}

/** Returns the roll-out that was accepted last. */
const findLast = (rollouts: readonly Rollout[]): Rollout | undefined =>
  rollouts.reduce<Rollout | undefined>(
    (last, rollout) => (last === undefined || rollout.id > last.id ? rollout : last),
    undefined,
  );

const listInStage = (rollouts: readonly Rollout[], stage: RolloutStage): readonly Rollout[] =>
  rollouts.filter((rollout) => rollout.stage === stage);

/** Returns the version to use outside of shares, among those that were not rolled back. */
const findBase = (
  { rollouts, startsByVersion, formerBase }: VersionFacts,
  excluded: ReadonlySet<string>,
): string | undefined => {
  const eligible = [...startsByVersion].filter(([version]) => !excluded.has(version));
  const completed = findLast(listInStage(rollouts, RolloutStage.COMPLETED))?.targetVersion;
  const known = [completed, formerBase].find((version) =>
    eligible.some(([candidate]) => candidate === version),
  );
  if (known !== undefined) return known;
  const [first, ...rest] = eligible;
  if (first === undefined) return undefined;
  const [oldest] = rest.reduce((best, other) => (other[1] < best[1] ? other : best), first);
  return oldest;
};

/**
 * Decides which software version of a service a request uses.
 *
 * Answers the load of a roll-out: servers of a second version run beside those of the first one, and
 * the second one may be bad. A version that was rolled back gets nothing. One that nobody has ordered
 * gets nothing either as long as a server of the version in use is live: its servers are started
 * before the order arrives here.
 *
 * @param facts - roll-outs and live versions of the service
 * @returns the version, and why
 */
export const decideVersion = (facts: VersionFacts): VersionDecision => {
  const { rollouts, startsByVersion, formerBase, canExpose } = facts;
  const rolledBack = listInStage(rollouts, RolloutStage.ROLLED_BACK);
  const newest = findLast(rollouts.filter(({ stage }) => stage !== RolloutStage.ROLLED_BACK));
  const target = newest?.targetVersion;
  const exposure = undefined;
  if (rollouts.length === 0 && startsByVersion.size <= 1) {
    const base = [...startsByVersion.keys()][0] ?? formerBase;
    const reason = VersionReason.AnyVersion;
    return { softwareVersion: undefined, reason, allowsUnstated: true, base, exposure };
  }
  const allowsUnstated = false;
  if (newest?.stage === RolloutStage.COMPLETED) {
    const isOnlyVersion = [...startsByVersion.keys()].every((version) => version === target);
    return {
      softwareVersion: target,
      reason: VersionReason.Completed,
      // A server that was found by a probe states its version a moment later.
      allowsUnstated: rolledBack.length === 0 && isOnlyVersion,
      base: target,
      exposure,
    };
  }
  const hasTarget = target !== undefined && startsByVersion.has(target);
  const excluded = new Set(
    [...rolledBack, ...(newest ? [newest] : [])].map((it) => it.targetVersion),
  );
  const base = findBase(facts, excluded);
  if (newest?.stage === RolloutStage.PROMOTING && hasTarget) {
    const reason = VersionReason.Promoted;
    return { softwareVersion: target, reason, allowsUnstated, base: target, exposure };
  }
  if (newest?.stage === RolloutStage.CANARY && hasTarget && canExpose) {
    const reason = VersionReason.Canary;
    return { softwareVersion: target, reason, allowsUnstated, base, exposure: newest };
  }
  const reasons: Partial<Record<RolloutStage, VersionReason>> = {
    [RolloutStage.CANARY]: VersionReason.OutsideShare,
    [RolloutStage.PROMOTING]: VersionReason.NoTargetServer,
  };
  const reason = (newest && reasons[newest.stage]) ?? VersionReason.LongestServing;
  return { softwareVersion: base, reason, allowsUnstated, base, exposure };
};
