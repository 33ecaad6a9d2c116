import { RolloutStage } from '../../_generated/foxtailvane/v1/rollouts_pb.js';
import { createLogger } from '../../process/log/index.js';
import ExposureCounter from './_lib/ExposureCounter.js';
import { VersionReason, decideVersion } from './_lib/decideVersion.js';
import selectExposed from './_lib/selectExposed.js';
import { Reach, VersionPolicy } from './VersionPolicy.js';

import type { Rollout } from '../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { ServerEntry } from '../../process/endpoints/types.js';
import type { RolloutHolder } from '../../process/holder/RolloutHolder/index.js';
import type { VersionDecision } from './_lib/decideVersion.js';
import type { VersionChoice } from './VersionPolicy.js';

const log = createLogger('rollouts');

/** Start of a server, in milliseconds; servers that state none count as the youngest. */
const readStartMs = ({ server }: ServerEntry): number =>
  Number(server.bornAtMs) || Number(server.servingSinceMs) || Infinity;

const findStarts = (live: readonly ServerEntry[]): Map<string, number> => {
  const starts = new Map<string, number>();
  live.forEach((entry) => {
    const { softwareVersion } = entry.server;
    if (softwareVersion === '') return;
    const startMs = Math.min(readStartMs(entry), starts.get(softwareVersion) ?? Infinity);
    starts.set(softwareVersion, startMs);
  });
  return starts;
};

/** The choice for requests outside of shares, and the roll-out that a share is used of. */
export type VersionExplanation = VersionChoice;

export interface RolloutPolicyOptions {
  rollouts: Pick<RolloutHolder, 'listOf'>;
  /** Returns whether a control VM has recently confirmed that this node is not behind. */
  isConfirmed: () => boolean;
  /** Uniform in [0, 1). */
  random: () => number;
}

/** Narrows the servers of a request to the software version that the roll-outs allow. */
export default class RolloutPolicy extends VersionPolicy {
  readonly #options: RolloutPolicyOptions;

  readonly #exposures: ExposureCounter;

  /** Version in use outside of shares, by service. */
  readonly #bases = new Map<string, string>();

  readonly #reasons = new Map<string, VersionReason>();

  constructor(options: RolloutPolicyOptions) {
    super();
    this.#options = options;
    this.#exposures = new ExposureCounter(options.random);
  }

  override choose(service: string, live: ServerEntry[], canExpose: boolean): VersionChoice {
    const decision = this.#decide(service, live, canExpose && this.#mayExpose(service));
    this.#keepBase(service, decision);
    const { softwareVersion, reason, exposure } = decision;
    return { entries: this.#narrow(live, decision), softwareVersion, reason, exposure };
  }

  override charge({ exposure }: VersionChoice): void {
    if (exposure) this.#exposures.charge(exposure);
  }

  override recordAttempt(service: string, { exposure }: VersionChoice, reach: Reach): void {
    if (exposure && reach === Reach.None) this.#exposures.refund(exposure);
    const canary = this.#findCanary(service);
    // A share of requests that are lost on their way would exceed the share of those that arrive.
    if (canary && reach === Reach.Certain) this.#exposures.addReached(canary);
  }

  /**
   * Explains the present choice for a service; changes nothing.
   *
   * @param service - name of the service
   * @param live - all live servers of the service
   */
  explain(service: string, live: ServerEntry[]): VersionExplanation {
    const decision = this.#decide(service, live, false);
    const { softwareVersion, reason } = decision;
    const exposure = this.#options.isConfirmed() ? this.#findCanary(service) : undefined;
    return { entries: this.#narrow(live, decision), softwareVersion, reason, exposure };
  }

  #decide(service: string, live: ServerEntry[], canExpose: boolean): VersionDecision {
    return decideVersion({
      rollouts: this.#options.rollouts.listOf(service),
      startsByVersion: findStarts(live),
      formerBase: this.#bases.get(service),
      canExpose,
    });
  }

  #findCanary(service: string): Rollout | undefined {
    return this.#options.rollouts
      .listOf(service)
      .find(({ stage }) => stage === RolloutStage.CANARY);
  }

  #mayExpose(service: string): boolean {
    const canary = this.#findCanary(service);
    return canary !== undefined && this.#exposures.hasShare(canary) && this.#options.isConfirmed();
  }

  #narrow(live: ServerEntry[], decision: VersionDecision): ServerEntry[] {
    const { softwareVersion, allowsUnstated, exposure, base } = decision;
    if (softwareVersion === undefined) return allowsUnstated ? live : [];
    const listOf = (version: string | undefined): ServerEntry[] =>
      live.filter(({ server }) => server.softwareVersion === version);
    if (exposure) return selectExposed(listOf(softwareVersion), exposure, listOf(base).length);
    if (!allowsUnstated) return listOf(softwareVersion);
    return live.filter(({ server }) => ['', softwareVersion].includes(server.softwareVersion));
  }

  #keepBase(service: string, { base, reason, exposure }: VersionDecision): void {
    // A request within the share leaves the version of the others as it is.
    if (exposure) return;
    const formerReason = this.#reasons.get(service) ?? VersionReason.AnyVersion;
    const formerVersion = this.#bases.get(service);
    const isNew = formerVersion !== undefined && formerVersion !== base;
    if (base !== undefined && (isNew || formerReason !== reason)) {
      log.info({ service, softwareVersion: base, formerVersion, reason }, 'version in use');
    }
    this.#reasons.set(service, reason);
    if (base !== undefined) this.#bases.set(service, base);
  }
}
