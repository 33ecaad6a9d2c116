/** Observes all roll-outs on a control VM, and takes their steps while this control VM leads. */
import type { Configuration } from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import { RolloutStage } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { Rollout } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import { createLogger } from '../../log/index.js';
import type { MetricsRegistry } from '../../metrics/index.js';
import type { ControlLog } from '../../replication/ControlLog/index.js';
import { EvidenceTracker } from '../EvidenceTracker/index.js';
import type { EvidenceIncrement, TrafficReports } from '../EvidenceTracker/index.js';
import { isInProgress } from '../RolloutBook/index.js';
import RolloutObservation from '../_lib/RolloutObservation/index.js';
import { decideRollout } from '../decideRollout/index.js';
import type { RolloutLimits, RolloutStep } from '../decideRollout/index.js';
import { computeDrainMs, planRollout } from '../planRollout/index.js';
import { RolloutOutcome } from '../types.js';

const logger = createLogger('rollouts');

const TICK_MS = 250;

/** Time after the start of the process in which nodes report their counts for the first time. */
const LEARNING_MS = 3_000;

/** The part of the replicated log that the controller uses. */
export type RolloutLog = Pick<
  ControlLog,
  'proposeRollout' | 'rolloutBook' | 'onRolloutsChanged' | 'committed'
>;

export interface RolloutControllerOptions {
  log: RolloutLog;
  limits: RolloutLimits;
  /** Reports of all nodes. */
  reports: TrafficReports;
  /** Returns the ids of the nodes that are not lost. */
  listNodeIds: () => string[];
  /** Counts the live servers of a version. */
  countServers: (service: string, softwareVersion: string) => number;
  /** Whether this control VM has heard from a leader, or leads, within the lease. */
  isConfirmed: () => boolean;
  /** Whether this control VM leads and holds a lease. */
  isLeading: () => boolean;
  metrics: MetricsRegistry;
  /** Steady clock, in milliseconds. */
  readNowMs: () => number;
  /** Milliseconds since the epoch. */
  readWallMs: () => number;
}

/**
 * Task of a control VM. Each control VM observes, so that one that becomes the leader goes on with
 * the evidence that it has; only the leader takes steps. Nothing is read while no roll-out is in
 * progress.
 *
 * @example
 * const controller = new RolloutController(options);
 * controller.start();
 */
export class RolloutController {
  readonly #options: RolloutControllerOptions;

  readonly #tracker: EvidenceTracker;

  readonly #observations = new Map<number, RolloutObservation>();

  /** Roll-outs with a step that is being proposed. */
  readonly #proposing = new Set<number>();

  readonly #startedAtMs: number;

  /** Whether the newest entries of the log were known here at the last tick. */
  #wasConfirmed = false;

  #timer: NodeJS.Timeout | undefined;

  #unsubscribe: (() => void) | undefined;

  constructor(options: RolloutControllerOptions) {
    this.#options = options;
    this.#tracker = new EvidenceTracker(options.reports);
    this.#startedAtMs = options.readNowMs();
  }

  start(): void {
    const { log, readNowMs, readWallMs } = this.#options;
    const observe = (): void => this.observe(readNowMs(), readWallMs());
    this.#unsubscribe = log.onRolloutsChanged(observe);
    observe();
    this.#timer = setInterval(() => this.tick(readNowMs(), readWallMs()), TICK_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#unsubscribe?.();
    this.#tracker.stop();
  }

  /**
   * Takes over what the log holds: starts and ends observations, and notes steps.
   *
   * @param nowMs - steady clock
   * @param wallMs - milliseconds since the epoch
   */
  observe(nowMs: number, wallMs: number): void {
    const rollouts = this.#options.log.rolloutBook.list().filter(isInProgress);
    if (rollouts.length > 0) this.#tracker.start();
    rollouts.forEach((rollout) => {
      const known = this.#observations.get(rollout.id);
      if (known) known.setRollout(rollout, nowMs);
      else this.#startObservation(rollout, nowMs, wallMs);
    });
    [...this.#observations]
      .filter(([id]) => !rollouts.some((rollout) => rollout.id === id))
      .forEach(([id]) => this.#endObservation(id));
    if (rollouts.length === 0) this.#tracker.stop();
  }

  /**
   * Adds the evidence since the last call and, on the leader, takes the steps that are due.
   *
   * @param nowMs - steady clock
   * @param wallMs - milliseconds since the epoch
   */
  tick(nowMs: number, wallMs: number): void {
    this.#wasConfirmed = this.#options.isConfirmed();
    if (this.#observations.size === 0) return;
    const isLearning = nowMs - this.#startedAtMs < LEARNING_MS;
    const increments = this.#tracker.collect(isLearning);
    this.#observations.forEach((observation) => {
      this.#addEvidence(observation, increments, nowMs);
      if (this.#options.isLeading()) this.#decide(observation, nowMs, wallMs);
    });
  }

  #readConfiguration(): Configuration | undefined {
    return this.#options.log.committed()?.configuration;
  }

  #startObservation(rollout: Rollout, nowMs: number, wallMs: number): void {
    // Entries that come late, after a start or a cut, are as old as the wall clock says; others are
    // new, whatever the clocks of the control VMs say.
    const wallAgeMs = wallMs - Number(rollout.orderedAtMs);
    const ageMs = this.#wasConfirmed ? 0 : Math.max(0, wallAgeMs);
    this.#observations.set(rollout.id, new RolloutObservation(rollout, nowMs, ageMs));
    this.#registerMetrics(rollout.service);
    logger.info(
      {
        rollout: rollout.id,
        service: rollout.service,
        targetVersion: rollout.targetVersion,
        durationMs: rollout.durationMs,
        step: rollout.step,
        ageMs,
      },
      'roll-out is observed',
    );
  }

  #endObservation(id: number): void {
    this.#observations.delete(id);
    const rollout = this.#options.log.rolloutBook.find(id);
    if (!rollout) return;
    const { service, targetVersion, reason } = rollout;
    const stage = RolloutStage[rollout.stage];
    logger.info({ rollout: id, service, targetVersion, stage, reason }, 'roll-out has ended');
  }

  #addEvidence(
    observation: RolloutObservation,
    increments: EvidenceIncrement[],
    nowMs: number,
  ): void {
    const { reports, listNodeIds, countServers, log } = this.#options;
    const { rollout } = observation;
    if (countServers(rollout.service, rollout.targetVersion) > 0) observation.noteTarget(nowMs);
    const drainMs = computeDrainMs(this.#readConfiguration(), rollout.service);
    const own = increments.filter(({ service }) => service === rollout.service);
    observation.addEvidence(own, planRollout(rollout.durationMs, drainMs), nowMs);
    // After a start the nodes that are not known here yet must not be taken for lost ones.
    const isLearning = nowMs - this.#startedAtMs < LEARNING_MS;
    if (rollout.stage !== RolloutStage.PROMOTING || isLearning) return;
    const changeIndex = log.rolloutBook.findChangeIndex(rollout.id);
    observation.checkInForce(listNodeIds(), reports.list(), changeIndex, nowMs);
  }

  #decide(observation: RolloutObservation, nowMs: number, wallMs: number): void {
    const { rollout } = observation;
    if (this.#proposing.has(rollout.id)) return;
    const drainMs = computeDrainMs(this.#readConfiguration(), rollout.service);
    const plan = planRollout(rollout.durationMs, drainMs);
    const situation = observation.describe(plan, this.#options.limits, nowMs);
    const step = decideRollout(situation);
    if (!step) return;
    this.#proposing.add(rollout.id);
    this.#propose(rollout, step, wallMs)
      .catch((error: unknown) => {
        const reason = error instanceof Error ? error.message : String(error);
        logger.error({ rollout: rollout.id, reason }, 'step of a roll-out failed unexpectedly');
      })
      .finally(() => this.#proposing.delete(rollout.id));
  }

  async #propose(rollout: Rollout, step: RolloutStep, wallMs: number): Promise<void> {
    const next = { ...rollout, ...step, step: rollout.step + 1 };
    const { outcome, message } = await this.#options.log.proposeRollout(next, wallMs);
    const context = {
      rollout: rollout.id,
      service: rollout.service,
      targetVersion: rollout.targetVersion,
      step: next.step,
      stage: RolloutStage[step.stage],
      sharePermille: step.sharePermille,
      reason: step.reason,
      outcome,
    };
    if (outcome === RolloutOutcome.Accepted) logger.info(context, 'step of a roll-out taken');
    else logger.warn({ ...context, answer: message }, 'step of a roll-out not taken');
  }

  /** The number of series is bounded by the services that the configuration has had. */
  #registerMetrics(service: string): void {
    const { metrics } = this.#options;
    const find = (): RolloutObservation | undefined =>
      [...this.#observations.values()].find(({ rollout }) => rollout.service === service);
    const register = (name: string, read: (observation: RolloutObservation) => number): void => {
      const readCurrent = (): number => {
        const observation = find();
        return observation ? read(observation) : 0;
      };
      metrics.gauge(name, readCurrent, { service });
    };
    register('rollout_share_permille', ({ rollout }) => rollout.sharePermille);
    register('rollout_stage', ({ rollout }) => rollout.stage);
    register('rollout_target_requests', ({ verdict }) => verdict.targetRequests);
    register('rollout_target_failures', ({ verdict }) => verdict.targetFailures);
    register('rollout_other_requests', ({ verdict }) => verdict.otherRequests);
  }
}
