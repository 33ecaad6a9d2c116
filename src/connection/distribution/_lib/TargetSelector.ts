import selectRandom from './selectRandom.js';

import type { ControlTarget } from '../NodeLink/types.js';

export interface TargetSelectorOptions {
  controls: ControlTarget[];
  dataCentre: string;
  /** Time without a control VM of the same data centre after which others are tried. */
  remoteFallbackDelayMs: number;
  /** Uniform in [0, 1). */
  random: () => number;
}

/** Selects the control VMs that a node tries; those of its own data centre come first. */
export class TargetSelector {
  readonly #options: TargetSelectorOptions;

  localTargets: ControlTarget[] = [];

  remoteTargets: ControlTarget[] = [];

  #preferred: ControlTarget | undefined;

  #lostAtMs: number;

  constructor(options: TargetSelectorOptions, nowMs: number) {
    this.#options = options;
    this.#lostAtMs = nowMs;
    this.setControls(options.controls);
  }

  /** Replaces the list of control VMs. */
  setControls(controls: ControlTarget[]): void {
    const { dataCentre } = this.#options;
    this.localTargets = controls.filter((target) => target.dataCentre === dataCentre);
    this.remoteTargets = controls.filter((target) => target.dataCentre !== dataCentre);
  }

  /** Puts a control VM first in the next selection. */
  prefer(target: ControlTarget): void {
    this.#preferred = target;
  }

  /** Records the time at which the stream to a control VM was lost. */
  markLost(nowMs: number): void {
    this.#lostAtMs = nowMs;
  }

  /**
   * Returns the control VMs to try, in order. The order within a data centre is random, which
   * spreads the nodes over its control VMs.
   */
  select(nowMs: number): ControlTarget[] {
    const { random, remoteFallbackDelayMs } = this.#options;
    const isFallbackDue =
      this.localTargets.length === 0 || nowMs - this.#lostAtMs >= remoteFallbackDelayMs;
    const ordered = [
      ...selectRandom(this.localTargets, this.localTargets.length, random),
      ...(isFallbackDue ? selectRandom(this.remoteTargets, this.remoteTargets.length, random) : []),
    ];
    const preferred = this.#preferred;
    this.#preferred = undefined;
    return preferred === undefined
      ? ordered
      : [preferred, ...ordered.filter(({ address }) => address !== preferred.address)];
  }
}
