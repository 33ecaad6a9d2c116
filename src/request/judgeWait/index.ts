import type { ExpectedAnswer } from '../selectServer/index.js';

/** Factor on the expected wait, which varies; refusing immediately is better than after a wait. */
const WAIT_MARGIN = 1.5;
/** Factor on the expected cost that covers most of its variation. */
const COST_MARGIN = 1.3;

/** Lateness of a node's timers up to which its processor counts as sufficient. */
const USUAL_LATENESS_MS = 25;
/** A request waits for the event loop of a node when it arrives and when it is answered. */
const EVENT_LOOP_WAITS = 2;

/**
 * Returns how long a node that is short of its own processor delays a request, in milliseconds.
 *
 * Answers VMs that run many times slower than usual: others place less there, and the node refuses what
 * it would answer too late instead of holding it until its caller has left.
 *
 * @param latenessMs - mean lateness of the timers of the node
 */
export const computeNodeDelayMs = (latenessMs: number): number =>
  latenessMs <= USUAL_LATENESS_MS ? 0 : latenessMs * EVENT_LOOP_WAITS;

/** Time that a request has left, in milliseconds. */
export interface TimeLeft {
  /** Until its latency objective ends; undefined when it has none. */
  objectiveMs: number | undefined;
  untilDeadlineMs: number;
}

/**
 * Returns whether the best of several servers is known to be too busy for a request.
 *
 * Answers load beyond the capacity of a service: the node beside the server would refuse the request,
 * and each request that is sent to several nodes to be refused there fills the links that answers need.
 *
 * @param expected - what the newest report of the server says; undefined when there is no fresh one
 * @param left - time that the request has left
 */
export const isTooBusy = (expected: ExpectedAnswer | undefined, left: TimeLeft): boolean => {
  if (!expected || expected.waitMs === 0) return false;
  const leftMs = Math.min(left.objectiveMs ?? left.untilDeadlineMs, left.untilDeadlineMs);
  return expected.waitMs * WAIT_MARGIN + expected.costMs * COST_MARGIN > leftMs;
};
