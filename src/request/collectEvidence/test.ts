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

const createFailure = (code: CallErrorCode, cause?: Error): AttemptEnd['result'] =>
  err(new CallError(code, 'test', { isWritten: code !== CallErrorCode.NotWritten, cause }));

const answer = (statusCode: number, upstreamMs = 10): AttemptEnd['result'] =>
  ok({ statusCode, upstreamMs });

const RESET = new Error('ECONNRESET');

// Guards against a bad version that goes unseen, and against a good one that looks bad in a burst, a
// cut, or when callers leave.
tap.test('only what the server did counts', async (t) => {
  const cases: [AttemptVerdict, string, Partial<AttemptEnd> & Pick<AttemptEnd, 'result'>][] = [
    [AttemptVerdict.Success, 'answered', { result: answer(200) }],
    [AttemptVerdict.Success, 'not found', { result: answer(404) }],
    [AttemptVerdict.Failure, 'own error', { result: answer(500) }],
    [AttemptVerdict.Failure, 'withheld 503', { result: createFailure(CallErrorCode.Shed) }],
    [AttemptVerdict.Failure, 'broken', { result: createFailure(CallErrorCode.Truncated) }],
    [AttemptVerdict.Failure, 'foreign', { result: createFailure(CallErrorCode.NoResponse) }],
    [AttemptVerdict.Failure, 'reset', { result: createFailure(CallErrorCode.NoResponse, RESET) }],
    [
      AttemptVerdict.None,
      'link between nodes reset',
      { ...FORWARDED, result: createFailure(CallErrorCode.NoResponse, RESET) },
    ],
    [
      AttemptVerdict.Failure,
      'no answer in time',
      { ...FORWARDED, isPastDeadline: true, result: createFailure(CallErrorCode.Cancelled) },
    ],
    [
      AttemptVerdict.None,
      'not acknowledged in time',
      {
        ...FORWARDED,
        isAcknowledged: false,
        isPastDeadline: true,
        result: createFailure(CallErrorCode.Cancelled),
      },
    ],
    [AttemptVerdict.None, 'caller gone', { result: createFailure(CallErrorCode.Cancelled) }],
    [AttemptVerdict.None, 'no slot', { result: createFailure(CallErrorCode.Refused) }],
    [AttemptVerdict.None, 'not sent', { result: createFailure(CallErrorCode.NotWritten) }],
  ];
  cases.forEach(([verdict, name, end]) => {
    t.equal(classifyAttempt({ ...LOCAL, ...end }), verdict, name);
  });
});

const createCollector = (stage: RolloutStage): EvidenceCollector => {
  const rollout = create(RolloutSchema, { service: 'desk', stage });
  const listOf = (service: string) => (service === 'desk' ? [rollout] : []);
  return new EvidenceCollector({ listOf }, new MetricsRegistry());
};

const ATTEMPT: EndedAttempt = {
  ...LOCAL,
  service: 'desk',
  softwareVersion: 'v2',
  route: 'orders',
  result: answer(200),
};

tap.test('attempts are counted by version and route while a roll-out is in progress', async (t) => {
  const collector = createCollector(RolloutStage.CANARY);
  [
    ATTEMPT,
    { ...ATTEMPT, result: answer(500) },
    { ...ATTEMPT, route: 'lookups' },
    { ...ATTEMPT, softwareVersion: 'v1' },
    { ...ATTEMPT, softwareVersion: '' },
    { ...ATTEMPT, service: 'ledger' },
  ].forEach((attempt) => collector.record(attempt));
  const entries = collector.list();
  t.strictSame(
    entries.map(({ softwareVersion, route, requests, failures }) => [
      softwareVersion,
      route,
      Number(requests),
      Number(failures),
    ]),
    [
      ['v2', 'orders', 2, 1],
      ['v2', 'lookups', 1, 0],
      ['v1', 'orders', 1, 0],
    ],
  );
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
  Array.from({ length: 2_000 }, (_, index) =>
    collector.record({ ...ATTEMPT, route: `route-${index}` }),
  );
  t.equal(collector.list().length, 512);
});

tap.test('a bucket holds the durations below its bound', async (t) => {
  t.equal(findBucket(0), 0);
  t.equal(findBucket(0.5), 0);
  [0.9, 1, 1.4, 1.5, 2, 200, 209, 276, 5_000].forEach((durationMs) => {
    const bucket = findBucket(durationMs);
    t.ok(durationMs < 2 ** ((bucket + 1) / 2), `${durationMs} ms`);
    t.ok(bucket === 0 || durationMs >= 2 ** (bucket / 2), `${durationMs} ms`);
  });
  t.equal(findBucket(1e9), 33);
});
