import tap from 'tap';

import { computeNodeDelayMs, isTooBusy } from './index.js';

// Guards against requests that are sent to several full servers to be refused by each of them.
tap.test('a request is refused at the entry only if it is known to come too late', async (t) => {
  const left = { objectiveMs: 500, untilDeadlineMs: 1_500 };
  t.ok(isTooBusy({ waitMs: 300, costMs: 200 }, left));
  t.notOk(isTooBusy({ waitMs: 30, costMs: 200 }, left));
  t.notOk(isTooBusy({ waitMs: 0, costMs: 900 }, left), 'a free slot is used');
  t.notOk(isTooBusy(undefined, left), 'without a fresh report');
  t.notOk(isTooBusy({ waitMs: 300, costMs: 200 }, { ...left, objectiveMs: undefined }));
});

// Guards against a slow VM that holds requests until their callers have left.
tap.test('a node that is late itself counts twice its lateness', async (t) => {
  t.equal(computeNodeDelayMs(5), 0);
  t.equal(computeNodeDelayMs(200), 400);
});
