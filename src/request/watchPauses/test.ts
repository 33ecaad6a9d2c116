import tap from 'tap';

import PauseWatch from './index.js';

const at = (steadyMs: number, wallStepMs = 0) => ({
  steadyMs,
  wallMs: 50_000 + steadyMs + wallStepMs,
});

const createWatch = (): PauseWatch => {
  const watch = new PauseWatch();
  [0, 100, 200].forEach((steadyMs) => watch.recordRun(at(steadyMs)));
  return watch;
};

// Guards against a node that wakes up and runs requests with keys that were withdrawn meanwhile.
tap.test('requests that are read right after a pause are recognized', async (t) => {
  const watch = createWatch();
  t.notOk(watch.isAfterPause(at(250)));
  t.ok(watch.isAfterPause(at(6_000)), 'before the timer has run');
  watch.recordRun(at(6_000));
  t.ok(watch.isAfterPause(at(6_900)));
  watch.recordRun(at(6_950));
  t.notOk(watch.isAfterPause(at(7_001)));
});

tap.test('a pause in which the steady clock stood still is recognized', async (t) => {
  const watch = createWatch();
  watch.recordRun(at(300, 6_000));
  t.ok(watch.isAfterPause(at(310, 6_000)));
  t.notOk(new PauseWatch().isAfterPause(at(0)), 'at the start');
});
