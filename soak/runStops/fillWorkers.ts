/** Callers that fill the slots of all workers of a service. */
import { setTimeout as sleep } from 'node:timers/promises';

import KeepingClient from '../../stand-ins/keepingClient/index.js';
import { createSeededRandom, drawInteger } from '../../stand-ins/createSeededRandom/index.js';
import type { Random } from '../../stand-ins/createSeededRandom/index.js';

/** How many callers fill the workers, and with how many requests. */
export interface CallerLoad {
  callers: number;
  /** Largest number of requests behind one another. */
  maxBurst: number;
  maxPauseMs: number;
}

/** Twice as many requests as all workers of a service have slots. */
export const FULL_LOAD: CallerLoad = { callers: 24, maxBurst: 1, maxPauseMs: 20 };
/** As many callers as a worker accepts connections (`max_connections`), with several requests each. */
export const LARGEST_LOAD: CallerLoad = { callers: 64, maxBurst: 8, maxPauseMs: 500 };

const MIN_DURATION_MS = 1_000;
const MAX_DURATION_MS = 2_500;
const MAX_SEED = 1_000_000;

export interface FillOptions {
  /** `IP:port` of the node that the callers use. */
  address: string;
  service: string;
  /** Prefix of the names of the callers. */
  name: string;
  load: CallerLoad;
  random: Random;
}

/**
 * Sends lookups of a service for some time.
 *
 * @param options - the node, the service and the load
 * @returns the callers, once the last response is there
 */
const fillWorkers = async (options: FillOptions): Promise<KeepingClient[]> => {
  const { address, service, name, load, random } = options;
  const { callers, maxBurst, maxPauseMs } = load;
  const durationMs = drawInteger(random, MIN_DURATION_MS, MAX_DURATION_MS);
  const clients = Array.from({ length: callers }, (_, index) => {
    const own = createSeededRandom(drawInteger(random, 1, MAX_SEED));
    return new KeepingClient({
      ...{ address, service, name: `${name}-${index}`, random: own },
      ...{ orderShare: 0, maxBurst, maxPauseMs },
    });
  });
  let isOver = false;
  const running = clients.map((client) => client.run(() => isOver));
  await sleep(durationMs);
  isOver = true;
  await Promise.all(running);
  return clients;
};

export default fillWorkers;
