/** Callers on a thread of their own, which disconnect before they are answered. */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

/** Where the callers connect, and when. */
export interface DepartingCallersOptions {
  /** `host:port` of the node. */
  address: string;
  count: number;
  /** Time from the start of the thread until the callers send their requests. */
  sendAfterMs: number;
  /** Time from there until they disconnect. */
  leaveAfterMs: number;
}

/** A caller that has disconnected. */
export interface Departure {
  /** Path of its request. */
  path: string;
  /** In milliseconds since the epoch. */
  atMs: number;
}

/** A running thread of callers. */
export interface DepartingCallers {
  /** Resolves once all callers have disconnected. */
  departures: Promise<Departure[]>;
}

/**
 * Starts callers that each send one lookup and then disconnect. They do not depend on the event loop of
 * the calling thread, so they leave even while it is blocked.
 *
 * @param options - address, number and times of the callers
 * @returns the callers, once their thread runs
 */
const startDepartingCallers = async (
  options: DepartingCallersOptions,
): Promise<DepartingCallers> => {
  const worker = new Worker(new URL('./main.js', import.meta.url), { workerData: options });
  const departures = once(worker, 'message').then(([list]) => list as Departure[]);
  await once(worker, 'online');
  return { departures };
};

export default startDepartingCallers;
