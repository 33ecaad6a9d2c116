/** Seeded random fault plans; faults may overlap, also on the same process. */
import { drawInteger } from '../../stand-ins/createSeededRandom/index.js';

import type { Random } from '../../stand-ins/createSeededRandom/index.js';

/** Fault that is injected into a process or its connections. */
export enum FaultKind {
  /** SIGKILL; the process is restarted when the fault ends. */
  Kill = 'kill',
  /** SIGTERM, a graceful stop; the process is restarted when the fault ends. */
  Terminate = 'terminate',
  /** SIGSTOP; SIGCONT when the fault ends. */
  Pause = 'pause',
  /** SIGHUP, which reloads the settings. */
  Reload = 'reload',
  /** Data on connections to the process is delayed. */
  Delay = 'delay',
  /** Existing and new connections to the process are reset. */
  Reset = 'reset',
  /** Data passes in one direction only. */
  OneWay = 'one-way',
  /** Connections to the process stay open, but no data passes. */
  Silence = 'silence',
}

/** Role of the process that a fault affects. */
export enum FaultTarget {
  Control = 'control',
  Node = 'node',
  Server = 'server',
}

export interface PlannedFault {
  kind: FaultKind;
  target: FaultTarget;
  /** Index within the processes of that role. */
  index: number;
  /** Time since the start of the fault plan. */
  startMs: number;
  endMs: number;
}

export interface FaultPlanOptions {
  durationMs: number;
  /** Number of processes of each role. */
  counts: Record<FaultTarget, number>;
}

/** Mean interval between the starts of two faults; most last longer, so that they overlap. */
const MEAN_INTERVAL_MS = 700;
const MIN_FAULT_MS = 100;
const MAX_FAULT_MS = 3_000;

const KINDS = Object.values(FaultKind);
const TARGETS = Object.values(FaultTarget);

const pickValue = <T>(values: readonly T[], random: Random): T =>
  values[drawInteger(random, 0, values.length - 1)] as T;

/** Replaces faults that a backend server does not support: reload and graceful stop. */
const replaceUnsupportedKind = (kind: FaultKind, target: FaultTarget): FaultKind => {
  const isDaemonOnly = kind === FaultKind.Reload || kind === FaultKind.Terminate;
  return target === FaultTarget.Server && isDaemonOnly ? FaultKind.Kill : kind;
};

/**
 * Draws a random fault plan.
 *
 * @param random - seeded random source
 * @param options - duration of the run and number of processes of each role
 * @returns faults ordered by start; none ends after the run
 */
export const drawFaults = (
  random: Random,
  { durationMs, counts }: FaultPlanOptions,
): PlannedFault[] => {
  const count = Math.floor(durationMs / MEAN_INTERVAL_MS);
  return Array.from({ length: count }, () => {
    const target = pickValue(TARGETS, random);
    const startMs = Math.floor(random() * durationMs);
    const faultMs = drawInteger(random, MIN_FAULT_MS, MAX_FAULT_MS);
    return {
      kind: replaceUnsupportedKind(pickValue(KINDS, random), target),
      target,
      index: drawInteger(random, 0, counts[target] - 1),
      startMs,
      endMs: Math.min(durationMs, startMs + faultMs),
    };
  }).toSorted((left, right) => left.startMs - right.startMs);
};
