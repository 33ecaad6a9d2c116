/** Suspends a node, once or in short turns, as a machine does that gets little processor time. */
import { setTimeout as sleep } from 'node:timers/promises';

import type { PlatformMachine } from '../../stand-ins/platform/index.js';
import { drawInteger } from '../../stand-ins/createSeededRandom/index.js';
import type { Random } from '../../stand-ins/createSeededRandom/index.js';

const MIN_SUSPENSION_MS = 500;
const MAX_SUSPENSION_MS = 1_200;
const MIN_SLOWDOWN_MS = 500;
const MAX_SLOWDOWN_MS = 1_500;
const SUSPENDED_TURN_MS = 100;
const MAX_RUNNING_TURN_MS = 3;

/** Suspends a node once. */
export const suspendNode = async (node: PlatformMachine, random: Random): Promise<void> => {
  const suspensionMs = drawInteger(random, MIN_SUSPENSION_MS, MAX_SUSPENSION_MS);
  node.setFrozen(true);
  await sleep(suspensionMs);
  node.setFrozen(false);
};

/** Lets a node run for a short time after each time of standing still. */
export const slowNode = async (node: PlatformMachine, random: Random): Promise<void> => {
  const endMs = performance.now() + drawInteger(random, MIN_SLOWDOWN_MS, MAX_SLOWDOWN_MS);
  const runningMs = drawInteger(random, 1, MAX_RUNNING_TURN_MS);
  while (performance.now() < endMs) {
    node.setFrozen(true);
    await sleep(SUSPENDED_TURN_MS);
    node.setFrozen(false);
    await sleep(runningMs);
  }
};
