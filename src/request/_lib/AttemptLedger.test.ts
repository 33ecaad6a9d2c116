import tap from 'tap';

import { CallError, CallErrorCode } from '../../connection/CallError/index.js';
import AttemptLedger from './AttemptLedger.js';

const LOOKUP = { isIdempotent: true, maxAttempts: 2, outerAttempt: 0 };
const ORDER = { isIdempotent: false, maxAttempts: 1, outerAttempt: 0 };

const noResponse = new CallError(CallErrorCode.NoResponse, 'reset', { isWritten: true });
const refused = new CallError(CallErrorCode.Refused, 'NO_SLOT', { isWritten: true });
const refusedByServer = new CallError(CallErrorCode.Refused, 'SERVER_REFUSED', {
  isWritten: true,
  isServerRefusal: true,
});

/** Creates a ledger with one failed attempt for each error. */
const recordFailures = (limits: typeof LOOKUP, errors: CallError[]): AttemptLedger => {
  const ledger = new AttemptLedger(limits);
  errors.forEach((error, index) => {
    const key = `node/server-${index}`;
    ledger.addAttempt(key);
    ledger.recordFailure(key, error);
  });
  return ledger;
};

/** Returns the number of retries that are charged before the next attempt. */
const countCharges = (ledger: AttemptLedger, openAttempts: number): number => {
  let charges = 0;
  ledger.chargeRetry(openAttempts, () => {
    charges += 1;
    return true;
  });
  return charges;
};

const ALONE = { openAttempts: 0, canBeSent: true };
const BESIDE_ONE = { openAttempts: 1, canBeSent: true };

// Guards against an order that is sent to a second server while it may be running.
tap.test('an order is retried only if it certainly did not run', async (t) => {
  t.ok(recordFailures(ORDER, [refused]).mayRetry(refused, ALONE));
  t.notOk(recordFailures(ORDER, [noResponse]).mayRetry(noResponse, ALONE));
  t.notOk(recordFailures(ORDER, [refused]).mayRetry(refused, BESIDE_ONE));
  t.notOk(recordFailures(ORDER, []).mayRunAgain(BESIDE_ONE));
});

// Guards against more runs than a route allows, when open attempts are left out of the count.
tap.test('open attempts count as runs', async (t) => {
  const ledger = recordFailures(LOOKUP, []);
  t.ok(ledger.mayRunAgain(BESIDE_ONE));
  t.notOk(ledger.mayRunAgain({ ...BESIDE_ONE, openAttempts: 2 }));
  t.notOk(recordFailures(LOOKUP, [noResponse]).mayRunAgain(BESIDE_ONE));
  t.ok(recordFailures(LOOKUP, [refused]).mayRetry(refused, BESIDE_ONE));
  t.notOk(ledger.mayRunAgain({ ...BESIDE_ONE, canBeSent: false }));
});

tap.test('a request that was refused three times is not sent again', async (t) => {
  t.ok(recordFailures(LOOKUP, [refused, refused]).mayRetry(refused, ALONE));
  t.notOk(recordFailures(LOOKUP, [refused, refused, refused]).mayRetry(refused, ALONE));
});

// Guards against arrivals at servers that the shared retry budget does not cover.
tap.test('each arrival beyond the first is charged once', async (t) => {
  t.equal(countCharges(recordFailures(LOOKUP, [refused]), 0), 0, 'a refusal by a node is free');
  t.equal(countCharges(recordFailures(LOOKUP, [refusedByServer]), 0), 1);
  const ledger = recordFailures(LOOKUP, []);
  t.equal(countCharges(ledger, 1), 1, 'beside an open attempt');
  ledger.recordFailure('node/server-0', refused);
  t.equal(countCharges(ledger, 1), 0, 'after the node of the second server refused it');
});

// Guards against a refusal as not run although an earlier attempt may have run.
tap.test('an attempt that may have run outweighs later refusals', async (t) => {
  t.equal(recordFailures(LOOKUP, [noResponse, refused]).error, noResponse);
  t.equal(recordFailures(LOOKUP, [refused]).error, refused);
});
