import { create } from '@bufbuild/protobuf';
import { err, ok } from 'neverthrow';
import tap from 'tap';

import { RolloutSchema, RolloutStage } from '../../_generated/foxtailvane/v1/rollouts_pb.js';
import { CallError, CallErrorCode } from '../../connection/CallError/index.js';
import { MetricsRegistry } from '../../process/metrics/index.js';
import { AttemptVerdict, EvidenceCollector, classifyAttempt, findBucket } from './index.js';

import type { AttemptEnd, EndedAttempt } from './index.js';

const LOCAL = { isForwarded: false, isAcknowledged: false, isPastDeadline: false };
const FORWARDED = { ...LOCAL, isForwarded: true, isAcknowledged: true };
const LATE = { ...FORWARDED, isPastDeadline: true };
const RESET = new Error('ECONNRESET');

const { Shed, Truncated, NoResponse, Cancelled, Refused, NotWritten } = CallErrorCode;
const { Success, Failure, None } = AttemptVerdict;

const answer = (statusCode: number): AttemptEnd['result'] => ok({ statusCode, upstreamMs: 10 });

const failure = (code: CallErrorCode, cause?: Error): AttemptEnd['result'] =>
  err(new CallError(code, 'test', { isWritten: code !== NotWritten, cause }));

// Guards against a bad version that goes unseen, and against a good one that looks bad in a burst, a
// cut, or when callers leave.
tap.test('only what the server did counts', async (t) => {
  const cases: [string, AttemptVerdict, AttemptEnd['result'], Omit<AttemptEnd, 'result'>][] = [
    ['answered', Success, answer(200), LOCAL],
    ['not found', Success, answer(404), LOCAL],
    ['own error', Failure, answer(500), LOCAL],
    ['withheld 503', Failure, failure(Shed), FORWARDED],
    ['broken', Failure, failure(Truncated), FORWARDED],
    ['foreign', Failure, failure(NoResponse), FORWARDED],
    ['server reset', Failure, failure(NoResponse, RESET), LOCAL],
    ['link between nodes reset', None, failure(NoResponse, RESET), FORWARDED],
    ['no answer in time', Failure, failure(Cancelled), LATE],
    ['not acknowledged', None, failure(Cancelled), { ...LATE, isAcknowledged: false }],
    ['caller gone', None, failure(Cancelled), FORWARDED],
    ['no slot', None, failure(Refused), FORWARDED],
    ['not sent', None, failure(NotWritten), FORWARDED],
  ];
  cases.forEach(([name, verdict, result, end]) => {
    t.equal(classifyAttempt({ ...end, result }), verdict, name);
  });
});

const createCollector = (stage: RolloutStage): EvidenceCollector => {
  const rollout = create(RolloutSchema, { service: 'desk', stage });
  const listOf = (service: string) => (service === 'desk' ? [rollout] : []);
  return new EvidenceCollector({ listOf }, new MetricsRegistry());
};

const NAMES = { service: 'desk', softwareVersion: 'v2', route: 'orders' };
const ATTEMPT: EndedAttempt = { ...LOCAL, ...NAMES, result: answer(200) };

tap.test('attempts are counted by version and route while a roll-out is in progress', async (t) => {
  const collector = createCollector(RolloutStage.CANARY);
  const changes: Partial<EndedAttempt>[] = [
    {},
    { result: answer(500) },
    { softwareVersion: 'v1' },
    { softwareVersion: '' },
    { service: 'ledger' },
  ];
  changes.forEach((change) => collector.record({ ...ATTEMPT, ...change }));
  const entries = collector.list();
  t.match(entries, [
    { softwareVersion: 'v2', route: 'orders', requests: 2n, failures: 1n },
    { softwareVersion: 'v1', route: 'orders', requests: 1n, failures: 0n },
  ]);
  t.equal(entries.length, 2);
  t.equal(entries[0]?.durationCounts[findBucket(10)], 1, 'a failure adds no duration');
  collector.record(ATTEMPT);
  t.equal(entries[0]?.requests, 2n, 'a report is not changed after it was made');
  const idle = createCollector(RolloutStage.COMPLETED);
  idle.record(ATTEMPT);
  t.strictSame(idle.list(), []);
});

// Guards against counts that take more memory with each route of a sheet that changes often.
tap.test('the number of counted routes is bounded', async (t) => {
  const collector = createCollector(RolloutStage.CANARY);
  const routes = Array.from({ length: 2_000 }, (_, index) => `route-${index}`);
  routes.forEach((route) => collector.record({ ...ATTEMPT, route }));
  t.equal(collector.list().length, 512);
});

tap.test('a bucket holds the durations below its bound', async (t) => {
  t.strictSame([0, 0.5, 0.9, 1e9].map(findBucket), [0, 0, 0, 33]);
  [1, 1.4, 1.5, 2, 200, 209, 276, 5_000].forEach((durationMs) => {
    const bucket = findBucket(durationMs);
    t.ok(durationMs < 2 ** ((bucket + 1) / 2) && durationMs >= 2 ** (bucket / 2), `${durationMs}`);
  });
});
