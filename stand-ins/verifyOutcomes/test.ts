import tap from 'tap';

import { ExecutionEvent } from '../backendServer/index.js';
import { RequestOutcome } from '../recordingClient/index.js';
import { verifyOutcomes, ViolationKind } from './index.js';

const describeSent = (requestId: string, outcome: RequestOutcome, isIdempotent = false) => ({
  requestId,
  outcome,
  isIdempotent,
  status: 0,
  scheduledAtMs: 0,
  latencyMs: 0,
});

const describeStart = (requestId: string, serverId: string) => ({
  event: ExecutionEvent.Start,
  requestId,
  serverId,
  service: 'order-desk',
  atMs: 0,
  path: '/',
});

tap.test('each kind of violation is reported, and valid outcomes are not', async (t) => {
  const sent = [
    describeSent('good', RequestOutcome.Answered),
    describeSent('twice', RequestOutcome.Answered),
    describeSent('retried', RequestOutcome.Answered, true),
    describeSent('refused', RequestOutcome.NotRun),
    describeSent('crossed', RequestOutcome.WrongBody),
    describeSent('invented', RequestOutcome.Answered),
    describeSent('lost', RequestOutcome.Unknown),
  ];
  const records = [
    describeStart('good', 's1'),
    describeStart('twice', 's1'),
    describeStart('twice', 's2'),
    describeStart('retried', 's1'),
    describeStart('retried', 's2'),
    describeStart('refused', 's2'),
    describeStart('crossed', 's1'),
    describeStart('lost', 's1'),
  ];
  t.strictSame(verifyOutcomes(sent, records), [
    { kind: ViolationKind.ExecutedTwice, requestId: 'twice', serverIds: ['s1', 's2'] },
    { kind: ViolationKind.NotRunWasExecuted, requestId: 'refused', serverIds: ['s2'] },
    { kind: ViolationKind.WrongBody, requestId: 'crossed', serverIds: ['s1'] },
    { kind: ViolationKind.AnsweredWithoutExecution, requestId: 'invented', serverIds: [] },
  ]);
});
