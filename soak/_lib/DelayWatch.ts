/** Watches how long the process of a soak test and its nodes get no processor while they could run. */
import { setTimeout as sleep } from 'node:timers/promises';

import type { PlatformMachine } from '../../stand-ins/platform/index.js';

const SAMPLE_INTERVAL_MS = 100;

/** Delays between two samples. */
interface Sample {
  fromMs: number;
  toMs: number;
  /** How late this process was, with its clients and workers. */
  ownMs: number;
  /** How long each machine waited for a processor. */
  machinesMs: number[];
}

export default class DelayWatch {
  readonly #machines: PlatformMachine[];

  readonly #samples: Sample[] = [];

  constructor(machines: PlatformMachine[]) {
    this.#machines = machines;
  }

  /** Takes samples until the end. */
  async run(isOver: () => boolean): Promise<void> {
    let fromMs = performance.now();
    let before = await this.#readWaits();
    while (!isOver()) {
      const startedAtMs = performance.now();
      await sleep(SAMPLE_INTERVAL_MS);
      const ownMs = performance.now() - startedAtMs - SAMPLE_INTERVAL_MS;
      const now = await this.#readWaits();
      const earlier = before;
      // A process that started meanwhile counts from zero.
      const machinesMs = now.map((waitMs, index) => Math.max(0, waitMs - (earlier[index] ?? 0)));
      const toMs = performance.now();
      this.#samples.push({ fromMs, toMs, ownMs: Math.max(0, ownMs), machinesMs });
      before = now;
      fromMs = toMs;
    }
  }

  /** Longest time for which this process was late. */
  get largestOwnDelayMs(): number {
    return Math.round(Math.max(0, ...this.#samples.map(({ ownMs }) => ownMs)));
  }

  /** How long each machine waited for a processor. */
  get waitsMs(): number[] {
    return this.#machines.map((_, machine) =>
      Math.round(this.#samples.reduce((sum, one) => sum + (one.machinesMs[machine] ?? 0), 0)),
    );
  }

  /**
   * Sums up how long this process and some machines were late within a span of time.
   *
   * @param machines - indexes of the machines
   * @param fromMs - start of the span, on the clock of `performance.now()`
   * @param toMs - its end
   */
  sumDelaysMs(machines: number[], fromMs: number, toMs: number): number {
    const distinct = [...new Set(machines)];
    return this.#samples
      .filter((sample) => sample.fromMs <= toMs && sample.toMs >= fromMs)
      .flatMap(({ ownMs, machinesMs }) => [ownMs, ...distinct.map((one) => machinesMs[one] ?? 0)])
      .reduce((sum, delayMs) => sum + delayMs, 0);
  }

  #readWaits(): Promise<number[]> {
    // A process that is down waits for nothing.
    return Promise.all(this.#machines.map((one) => one.readProcessorWaitMs().catch(() => 0)));
  }
}
