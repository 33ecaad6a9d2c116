import { err, ok } from 'neverthrow';
import tap from 'tap';

import { CallError, CallErrorCode } from '../../connection/CallError/index.js';
import OpenAttempts, { AttemptEventKind } from './OpenAttempts.js';

import type { AttemptProgress, AttemptResult } from './OpenAttempts.js';

const FAILED: AttemptResult = err(
  new CallError(CallErrorCode.NoResponse, 'reset', { isWritten: true }),
);
const SERVED: AttemptResult = ok({ statusCode: 200, upstreamMs: 1 });

/** Starts an attempt; returns how to report its progress and to end it. */
const startAttempt = (open: OpenAttempts, key = 'node/server') => {
  let progress: AttemptProgress | undefined;
  let end: (result: AttemptResult) => void = () => undefined;
  open.start(key, (reported) => {
    progress = reported;
    return new Promise((resolve) => {
      end = resolve;
    });
  });
  return {
    reportOverdue: () => progress?.reportOverdue(),
    reportAcknowledged: () => progress?.reportAcknowledged(),
    end: (result: AttemptResult) => end(result),
  };
};

// Guards against an event that is lost because another one came in the same turn.
tap.test('attempts that end in the same turn are all returned', async (t) => {
  const open = new OpenAttempts();
  const attempts = [startAttempt(open, 'a'), startAttempt(open, 'b')];
  attempts[0]?.end(FAILED);
  attempts[1]?.end(SERVED);
  t.strictSame(await open.next(), { kind: AttemptEventKind.Ended, key: 'a', result: FAILED });
  t.equal(open.size, 1, 'an end that was not returned counts as open');
  t.strictSame(await open.next(), { kind: AttemptEventKind.Ended, key: 'b', result: SERVED });
  t.equal(open.size, 0);
});

// Guards against a third attempt while the second one is in progress, or its node responds.
tap.test('attempts are overdue until their nodes acknowledge the request', async (t) => {
  const open = new OpenAttempts();
  const first = startAttempt(open);
  t.notOk(open.areOverdue);
  first.reportOverdue();
  t.strictSame(await open.next(), { kind: AttemptEventKind.Overdue });
  t.ok(open.areOverdue);
  const second = startAttempt(open);
  t.notOk(open.areOverdue);
  second.reportOverdue();
  t.ok(open.areOverdue);
  first.reportAcknowledged();
  t.notOk(open.areOverdue);
});

tap.test('an attempt that rejects rejects the wait for it', async (t) => {
  const open = new OpenAttempts();
  open.start('node/server', () => Promise.reject(new Error('fault')));
  await t.rejects(open.next(), { message: 'fault' });
  t.equal(open.size, 0);
});
