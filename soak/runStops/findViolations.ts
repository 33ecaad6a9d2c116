/** Compares how requests ended for their clients with what the workers ran. */
import { DEADLINE_MS, RequestEnd } from '../../stand-ins/keepingClient/index.js';
import type { KeptRequest } from '../../stand-ins/keepingClient/index.js';
import type { PlatformWorker } from '../../stand-ins/platform/index.js';
import type DelayWatch from '../_lib/DelayWatch.js';
import type { DoneWork, NodeSpan } from './doPlannedWork.js';

const REFUSED_STATUSES = new Set([408, 421, 429, 503]);
/** Statuses that promise nothing of the request. */
export const FAILED_STATUSES = new Set([502, 504]);
/** `max_attempts` of the routes. */
const LOOKUP_ATTEMPTS = 2;
const ORDER_ATTEMPTS = 1;
/** Time after which no run begins for a client that left, as the rule GONE has it. */
const LATE_RUN_MS = 500;
/** Timers of a node round to whole milliseconds, so that one for the deadline may end that much early. */
const TIMER_RESOLUTION_MS = 1;

/** A request, and the index of the node that it was sent to. */
export interface EnteredRequest {
  request: KeptRequest;
  node: number;
}

/** A run of a request. */
interface Run {
  /** Index of the worker, and of the node beside it. */
  node: number;
  atMs: number;
}

/** What was done, and how late this process and the nodes were meanwhile. */
export interface Circumstances extends DoneWork {
  delays: DelayWatch;
}

const overlaps = (spans: NodeSpan[], node: number, fromMs: number, toMs: number): boolean =>
  spans.some((span) => span.node === node && span.fromMs <= toMs && span.toMs >= fromMs);

const listRuns = (workers: PlatformWorker[]): Map<string, Run[]> => {
  const runs = new Map<string, Run[]>();
  workers.forEach((worker, node) =>
    worker.runs.forEach(({ attemptId, atMs }) =>
      runs.set(attemptId, [...(runs.get(attemptId) ?? []), { node, atMs }]),
    ),
  );
  return runs;
};

/** Whether a node gave a failure of its own before the deadline, though a worker ran the request. */
const isBrokenOff = (
  { request, node }: EnteredRequest,
  runs: Run[],
  done: Circumstances,
): boolean => {
  const { answeredAtMs = Infinity, beganAtMs, statusCode = 0, response } = request;
  const isOwn = !/^server-stamp:/im.test(response?.head ?? '');
  return (
    runs.length > 0 &&
    isOwn &&
    FAILED_STATUSES.has(statusCode) &&
    answeredAtMs < beganAtMs + DEADLINE_MS - TIMER_RESOLUTION_MS &&
    !overlaps(done.slowdowns, node, beganAtMs, answeredAtMs)
  );
};

const isStopping = ({ request, node }: EnteredRequest, { stops }: DoneWork): boolean => {
  const { answeredAtMs = 0 } = request;
  return overlaps(stops, node, answeredAtMs, answeredAtMs);
};

/** Whether a worker began long after the client had left, without a slowed node on the way. */
const hasLateRun = (
  { request, node }: EnteredRequest,
  runs: Run[],
  { slowdowns, delays }: Circumstances,
): boolean => {
  const { end, closedAtMs = Infinity } = request;
  if (end !== RequestEnd.Left) return false;
  return runs
    .filter(({ atMs, node: ownerNode }) => {
      // A node that got no processor counts as slowed for that time.
      const delayMs = delays.sumDelaysMs([node, ownerNode], closedAtMs, atMs);
      return atMs > closedAtMs + LATE_RUN_MS + delayMs;
    })
    .some((run) => ![node, run.node].some((one) => overlaps(slowdowns, one, closedAtMs, run.atMs)));
};

const findFaults = (entered: EnteredRequest, runs: Run[], done: Circumstances): string[] => {
  const { isOrder, end, statusCode = 0 } = entered.request;
  const workers = new Set(runs.map(({ node }) => node)).size;
  const maxAttempts = isOrder ? ORDER_ATTEMPTS : LOOKUP_ATTEMPTS;
  const hasRun = runs.length > 0;
  const faults: Record<string, boolean> = {
    'an order ran twice': isOrder && runs.length > 1,
    'a refused order ran': isOrder && hasRun && REFUSED_STATUSES.has(statusCode),
    'no answer on an open connection': end === RequestEnd.GivenUp,
    'no whole answer to a request that ran': hasRun && end === RequestEnd.Unanswered,
    'an order behind a closing response ran': isOrder && hasRun && end === RequestEnd.BehindClose,
    'a stopping node answered for a worker':
      isBrokenOff(entered, runs, done) && isStopping(entered, done),
    'more workers ran it than attempts are allowed': workers > maxAttempts,
    'a run began after the client left': hasLateRun(entered, runs, done),
  };
  return Object.keys(faults).filter((fault) => faults[fault]);
};

const describeRuns = ({ request }: EnteredRequest, runs: Run[]): string =>
  runs
    .map(({ node, atMs }) => `worker ${node} after ${Math.round(atMs - request.beganAtMs)} ms`)
    .join(', ');

/** What was found in the requests of a run. */
export interface Findings {
  /** One line for each violation. */
  violations: string[];
  /** Failures of the same kind at nodes that did not stop, which no rule counts. */
  failuresBesideStops: number;
}

/**
 * Finds requests that were lost, doubled, refused though they ran, answered in place of their worker by a
 * stopping node, run by too many workers, or run long after their client left.
 *
 * @param sent - requests of all clients
 * @param workers - workers, in the order of the nodes beside them
 * @param done - stops, slowdowns and delays
 */
const findViolations = (
  sent: EnteredRequest[],
  workers: PlatformWorker[],
  done: Circumstances,
): Findings => {
  const runsById = listRuns(workers);
  const findRuns = ({ request }: EnteredRequest): Run[] => runsById.get(request.attemptId) ?? [];
  return {
    violations: sent.flatMap((entered) => {
      const runs = findRuns(entered);
      const { request, node } = entered;
      return findFaults(entered, runs, done).map(
        (fault) =>
          `${fault}: ${JSON.stringify({ ...request, node, runs: describeRuns(entered, runs) })}`,
      );
    }),
    failuresBesideStops: sent.filter(
      (entered) => isBrokenOff(entered, findRuns(entered), done) && !isStopping(entered, done),
    ).length,
  };
};

export default findViolations;
