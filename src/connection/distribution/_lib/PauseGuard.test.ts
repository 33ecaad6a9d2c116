import tap from 'tap';

import PauseGuard from './PauseGuard.js';

// Guards against a suspended leader that confirms a version after another leader has replaced it.
tap.test('after a suspension a lease must pass before leases are relied on', async (t) => {
  const guard = new PauseGuard(600);
  t.ok(guard.canRelyOnLease({ steadyMs: 1_000, wallMs: 50_000 }));
  t.ok(guard.canRelyOnLease({ steadyMs: 1_300, wallMs: 50_300 }));
  t.notOk(guard.canRelyOnLease({ steadyMs: 1_310, wallMs: 57_310 }), 'suspended for 7 s');
  t.notOk(guard.canRelyOnLease({ steadyMs: 1_900, wallMs: 57_900 }));
  t.ok(guard.canRelyOnLease({ steadyMs: 1_910, wallMs: 57_910 }));
});

tap.test('a time of day that is set back or drifts changes nothing', async (t) => {
  const guard = new PauseGuard(600);
  t.ok(guard.canRelyOnLease({ steadyMs: 0, wallMs: 50_000 }));
  t.ok(guard.canRelyOnLease({ steadyMs: 300, wallMs: 20_300 }));
  t.ok(guard.canRelyOnLease({ steadyMs: 600, wallMs: 20_800 }));
});
