import { ProbeBehaviour } from './types.js';

import type { FaultSettings } from './types.js';

/** Response body of `/health` and `/load`. */
export interface ProbeReport {
  healthy: boolean;
  state: string;
  inFlight: number;
  slots: number;
}

interface TimedReport {
  atMs: number;
  report: ProbeReport;
}

// Bounds the memory of a server that runs for hours; older states are never read.
const HISTORY_LIMIT = 4_096;

/** Reports health and load accurately, with a lag, or always as healthy and idle. */
export class ProbeReporter {
  #history: TimedReport[] = [];

  /** Records the actual state after each change. */
  recordState(createReport: ProbeReport, nowMs: number): void {
    this.#history.push({ atMs: nowMs, report: createReport });
    if (this.#history.length > HISTORY_LIMIT) {
      this.#history = this.#history.slice(-HISTORY_LIMIT / 2);
    }
  }

  /** Returns the report that a probe receives under the given settings. */
  report(settings: FaultSettings, nowMs: number): ProbeReport {
    const newest = this.#history.at(-1)!.report;
    if (settings.probes === ProbeBehaviour.AlwaysHealthy) {
      return { ...newest, healthy: true, state: 'serving', inFlight: 0 };
    }
    if (settings.probes === ProbeBehaviour.Accurate) return newest;
    const seen = this.#history.findLast((entry) => entry.atMs <= nowMs - settings.probeLagMs);
    return (seen ?? this.#history[0]!).report;
  }
}
