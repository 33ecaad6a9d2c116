import tap from 'tap';

import { RequestEnd } from '../../stand-ins/keepingClient/index.js';
import type { KeptRequest } from '../../stand-ins/keepingClient/index.js';
import { PlatformWorker } from '../../stand-ins/platform/index.js';
import DelayWatch from '../_lib/DelayWatch.js';
import { Work } from './doPlannedWork.js';
import type { NodeSpan } from './doPlannedWork.js';
import findViolations from './findViolations.js';

const ATTEMPT_ID = 'a-1';
const ENTRY = 0;
const OWNER = 1;
const STOP: NodeSpan = { node: ENTRY, kind: Work.Stop, fromMs: 0, toMs: 5_000 };
const OWN_ANSWER = {
  ...{ end: RequestEnd.Answered, statusCode: 502, answeredAtMs: 1_500 },
  response: {
    ...{ statusCode: 502, isClosing: false, framedBody: '', informational: [] },
    head: 'HTTP/1.1 502 Bad Gateway\r\nattempt-id: a-1',
  },
};
const LEFT = { end: RequestEnd.Left, closedAtMs: 1_200 };

/** Runs of the request by worker, each at its time. */
type RunTimes = Record<number, number[]>;

const findFaults = (
  changes: Partial<KeptRequest>,
  runTimes: RunTimes,
  { stops = [], slowdowns = [] }: { stops?: NodeSpan[]; slowdowns?: NodeSpan[] } = {},
) => {
  const workers = Array.from({ length: 4 }, (_, index) => {
    const worker = new PlatformWorker({
      ...{ instanceId: `i-${index}`, service: 'desk', zone: 'zone-a', address: '', control: '' },
    });
    const rest = { attemptId: ATTEMPT_ID, path: '/', callerService: '', rawHeaders: [] };
    worker.runs.push(...(runTimes[index] ?? []).map((atMs) => ({ ...rest, atMs })));
    return worker;
  });
  const request: KeptRequest = {
    ...{ attemptId: ATTEMPT_ID, isOrder: false, isChunked: false, beganAtMs: 1_000 },
    ...{ sentAtMs: 1_000, end: RequestEnd.Answered, statusCode: 200, ...changes },
  };
  const { violations, failuresBesideStops } = findViolations([{ request, node: ENTRY }], workers, {
    stops,
    slowdowns,
    counts: {},
    fillers: [],
    delays: new DelayWatch([]),
  });
  return { faults: violations.map((text) => text.split(':')[0]), failuresBesideStops };
};

const slowDown = (node: number, fromMs: number, toMs: number): { slowdowns: NodeSpan[] } => ({
  slowdowns: [{ node, kind: Work.Slow, fromMs, toMs }],
});

// Guards against a soak that misses a stopping node's own failure in place of a worker's answer.
tap.test('a failure of a stopping node for a request that runs later is a violation', async (t) => {
  const found = findFaults(OWN_ANSWER, { [OWNER]: [1_700] }, { stops: [STOP] });
  t.strictSame(found.faults, ['a stopping node answered for a worker']);
  const slowOwner = { stops: [STOP], ...slowDown(OWNER, 1_000, 2_000) };
  t.strictSame(findFaults(OWN_ANSWER, { [OWNER]: [1_700] }, slowOwner).faults, found.faults);
});

// Guards against violations for what the rule excuses.
tap.test(
  'a failure is no violation without a run, a stop, or time left, or at a slowed node',
  async (t) => {
    const runs = { [OWNER]: [1_200] };
    t.strictSame(findFaults(OWN_ANSWER, {}, { stops: [STOP] }).faults, []);
    t.strictSame(findFaults(OWN_ANSWER, runs), { faults: [], failuresBesideStops: 1 });
    const endAt = (answeredAtMs: number) =>
      findFaults({ ...OWN_ANSWER, statusCode: 504, answeredAtMs }, runs, { stops: [STOP] });
    t.strictSame(endAt(2_999).faults, []);
    t.equal(endAt(2_998).faults.length, 1);
    const slowEntry = { stops: [STOP], ...slowDown(ENTRY, 1_100, 1_400) };
    t.strictSame(findFaults(OWN_ANSWER, runs, slowEntry).faults, []);
    const head = `${OWN_ANSWER.response.head}\r\nServer-Stamp: s`;
    const stamped = { ...OWN_ANSWER, response: { ...OWN_ANSWER.response, head } };
    t.strictSame(findFaults(stamped, runs, { stops: [STOP] }).faults, []);
  },
);

// Guards against a soak that misses a request at more workers than its route allows.
tap.test('runs at more workers than the attempts allowed are a violation', async (t) => {
  const fault = 'more workers ran it than attempts are allowed';
  t.strictSame(findFaults({}, { 1: [1_100], 2: [1_200], 3: [1_300] }).faults, [fault]);
  t.strictSame(findFaults({}, { 1: [1_100], 2: [1_200] }).faults, []);
  const order = findFaults({ isOrder: true }, { 1: [1_100], 2: [1_200] });
  t.strictSame(order.faults, ['an order ran twice', fault]);
});

// Guards against a soak that misses runs for clients that are gone.
tap.test('a run that begins long after the client left is a violation', async (t) => {
  const fault = 'a run began after the client left';
  t.strictSame(findFaults(LEFT, { [OWNER]: [1_701] }).faults, [fault]);
  t.strictSame(findFaults(LEFT, { [OWNER]: [1_700] }).faults, []);
  const runs = { [OWNER]: [1_800] };
  t.strictSame(findFaults(LEFT, runs, slowDown(OWNER, 1_100, 1_300)).faults, []);
  t.strictSame(findFaults(LEFT, runs, slowDown(ENTRY, 1_100, 1_300)).faults, []);
  t.strictSame(findFaults(LEFT, runs, slowDown(2, 1_100, 1_300)).faults, [fault]);
  t.strictSame(findFaults(LEFT, runs, slowDown(OWNER, 900, 1_100)).faults, [fault]);
});
