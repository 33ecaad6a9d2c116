/** Series of faults that a seed draws; they overlap, and the same place may be hit twice. */
import { drawInteger } from '../../stand-ins/createSeededRandom/index.js';

import type { Random } from '../../stand-ins/createSeededRandom/index.js';

/** What is done to a process or a connection from outside. */
export enum FaultKind {
  /** SIGKILL; started again at the end. */
  Kill = 'kill',
  /** SIGTERM, which lets it finish its requests; started again at the end. */
  Terminate = 'terminate',
  /** SIGSTOP, then SIGCONT. */
  Pause = 'pause',
  /** SIGHUP. */
  Reload = 'reload',
  /** The connections to it are delayed. */
  Delay = 'delay',
  /** The connections to it are reset, and new ones as well. */
  Reset = 'reset',
  /** Bytes pass in one direction only. */
  OneWay = 'one-way',
  /** The connections to it stay open, and nothing passes. */
  Silence = 'silence',
}

/** Role of the process that a fault hits. */
export enum FaultTarget {
  Control = 'control',
  Node = 'node',
  Server = 'server',
}

export interface PlannedFault {
  kind: FaultKind;
  target: FaultTarget;
  /** Index among the processes of that role. */
  index: number;
  /** From the start of the load. */
  startMs: number;
  endMs: number;
}

export interface FaultPlanOptions {
  durationMs: number;
  /** Number of processes of each role. */
  counts: Record<FaultTarget, number>;
}

/** Mean pause between the starts of two faults; they last longer, so that they overlap. */
const MEAN_GAP_MS = 700;
const SHORTEST_MS = 100;
const LONGEST_MS = 3_000;

const KINDS = Object.values(FaultKind);
const TARGETS = Object.values(FaultTarget);

const pick = <T>(values: readonly T[], random: Random): T =>
  values[drawInteger(random, 0, values.length - 1)] as T;

/** A backend server has neither a reload nor a graceful stop. */
const fit = (kind: FaultKind, target: FaultTarget): FaultKind => {
  const isForDaemons = kind === FaultKind.Reload || kind === FaultKind.Terminate;
  return target === FaultTarget.Server && isForDaemons ? FaultKind.Kill : kind;
};

/**
 * Draws the faults of a run.
 *
 * @param random - seeded source
 * @param options - length of the run, and what can be hit
 * @returns faults in order of their start; all end before the run does
 */
export const drawFaults = (
  random: Random,
  { durationMs, counts }: FaultPlanOptions,
): PlannedFault[] => {
  const count = Math.floor(durationMs / MEAN_GAP_MS);
  return Array.from({ length: count }, () => {
    const target = pick(TARGETS, random);
    const startMs = Math.floor(random() * durationMs);
    const lengthMs = drawInteger(random, SHORTEST_MS, LONGEST_MS);
    return {
      kind: fit(pick(KINDS, random), target),
      target,
      index: drawInteger(random, 0, counts[target] - 1),
      startMs,
      endMs: Math.min(durationMs, startMs + lengthMs),
    };
  }).toSorted((left, right) => left.startMs - right.startMs);
};
