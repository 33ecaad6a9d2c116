/** The roll-outs as of the last applied entry of the replicated log. */
import { clone, create } from '@bufbuild/protobuf';

import {
  RolloutSchema,
  RolloutSetSchema,
  RolloutStage,
} from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { Rollout, RolloutSet } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';

/** Roll-outs kept for each service; the newest of each target version stays beyond it. */
const KEPT_PER_SERVICE = 16;

/** Target versions kept for each service. Servers of older ones have stopped long ago. */
const KEPT_TARGETS_PER_SERVICE = 32;

/** Number of the step that an order is. */
export const FIRST_STEP = 1;

const NEXT_STAGES: Record<RolloutStage, RolloutStage[]> = {
  [RolloutStage.UNSPECIFIED]: [],
  [RolloutStage.CANARY]: [RolloutStage.CANARY, RolloutStage.PROMOTING, RolloutStage.ROLLED_BACK],
  [RolloutStage.PROMOTING]: [RolloutStage.COMPLETED, RolloutStage.ROLLED_BACK],
  [RolloutStage.COMPLETED]: [],
  [RolloutStage.ROLLED_BACK]: [],
};

/** Reports whether a roll-out has not ended yet. */
export const isInProgress = ({ stage }: Rollout): boolean => NEXT_STAGES[stage].length > 0;

/** What nodes need to choose servers. */
const toNodeView = (rollout: Rollout): Rollout =>
  create(RolloutSchema, {
    id: rollout.id,
    service: rollout.service,
    targetVersion: rollout.targetVersion,
    stage: rollout.stage,
    sharePermille: rollout.sharePermille,
    step: rollout.step,
  });

/**
 * Applies orders and steps in the order of the log. An entry that does not follow from the state
 * before it changes nothing, so a step that is repeated, late or from a leader that was replaced has
 * no effect, and all control VMs hold the same roll-outs.
 *
 * @example
 * const book = new RolloutBook();
 * book.apply(order, 12);
 * book.set().revision; // 12
 */
export class RolloutBook {
  #byId = new Map<number, Rollout>();

  #changedAtById = new Map<number, number>();

  #lastId = 0;

  #revision = 0;

  #set: RolloutSet | undefined;

  /** Number of the newest roll-out; 0 for none. */
  get lastId(): number {
    return this.#lastId;
  }

  /**
   * Applies a committed entry.
   *
   * @param rollout - the order, or the whole state after a step
   * @param logIndex - index of the entry
   * @returns whether the entry changed a roll-out
   */
  apply(rollout: Rollout, logIndex: number): boolean {
    const isApplicable =
      rollout.step === FIRST_STEP ? this.#isNewOrder(rollout) : this.isNextStep(rollout);
    if (!isApplicable) return false;
    // Copied, because the decoded entry refers to the memory of the log.
    this.#byId.set(rollout.id, clone(RolloutSchema, rollout));
    this.#changedAtById.set(rollout.id, logIndex);
    this.#lastId = Math.max(this.#lastId, rollout.id);
    this.#revision = logIndex;
    this.#set = undefined;
    if (rollout.step === FIRST_STEP) this.#dropOldest(rollout.service);
    return true;
  }

  /** Reports whether a step follows the present state of its roll-out. */
  isNextStep(step: Rollout): boolean {
    const current = this.#byId.get(step.id);
    return (
      current !== undefined &&
      step.step === current.step + 1 &&
      step.service === current.service &&
      step.targetVersion === current.targetVersion &&
      NEXT_STAGES[current.stage].includes(step.stage)
    );
  }

  /** Replaces all roll-outs with those of a snapshot that covers the log up to an index. */
  replace(rollouts: Rollout[], lastIndex: number): void {
    this.#byId = new Map(rollouts.map((rollout) => [rollout.id, clone(RolloutSchema, rollout)]));
    this.#changedAtById = new Map(rollouts.map(({ id }) => [id, lastIndex]));
    this.#lastId = rollouts.reduce((highest, { id }) => Math.max(highest, id), 0);
    this.#revision = rollouts.length > 0 ? lastIndex : 0;
    this.#set = undefined;
  }

  find(id: number): Rollout | undefined {
    return this.#byId.get(id);
  }

  /**
   * Returns an index from which on each revision contains the last step of a roll-out; that of the
   * step itself, or after a restart that of the snapshot.
   */
  findChangeIndex(id: number): number {
    return this.#changedAtById.get(id) ?? this.#revision;
  }

  /** Returns all kept roll-outs in the order of their numbers. */
  list(): Rollout[] {
    return [...this.#byId.values()].toSorted((left, right) => left.id - right.id);
  }

  /** Returns the roll-outs of a service, oldest first. */
  listOf(service: string): Rollout[] {
    return this.list().filter((rollout) => rollout.service === service);
  }

  /** Returns what bears on the choice of servers: for each service the newest of each target. */
  set(): RolloutSet {
    this.#set ??= create(RolloutSetSchema, {
      revision: this.#revision,
      rollouts: this.list()
        .filter((rollout) => this.#isNewestOfTarget(rollout))
        .map(toNodeView),
    });
    return this.#set;
  }

  #isNewOrder({ id, service, stage }: Rollout): boolean {
    return (
      id > this.#lastId && stage === RolloutStage.CANARY && !this.listOf(service).some(isInProgress)
    );
  }

  #isNewestOfTarget({ id, service, targetVersion }: Rollout): boolean {
    return ![...this.#byId.values()].some(
      (other) =>
        other.id > id && other.service === service && other.targetVersion === targetVersion,
    );
  }

  #dropOldest(service: string): void {
    const rollouts = this.listOf(service);
    const newest = rollouts.filter((rollout) => this.#isNewestOfTarget(rollout));
    const obsolete = [
      ...rollouts.slice(0, -KEPT_PER_SERVICE).filter((rollout) => !newest.includes(rollout)),
      ...newest.slice(0, -KEPT_TARGETS_PER_SERVICE),
    ];
    obsolete.forEach(({ id }) => {
      this.#byId.delete(id);
      this.#changedAtById.delete(id);
    });
  }
}
