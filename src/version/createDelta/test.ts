import tap from 'tap';

import {
  buildConfiguration,
  buildSizedConfiguration,
} from '../../../stand-ins/configurations/index.js';
import { expectError, expectOk } from '../../../stand-ins/results/index.js';
import { ConfigurationErrorCode } from '../ConfigurationError/index.js';
import { createDelta } from './index.js';

tap.test('a delta contains only the changed, added and removed rows', async (t) => {
  const base = buildConfiguration(1, {
    services: [{ name: 'kept' }, { name: 'changed', slots: 20 }, { name: 'removed' }],
    routes: [{ name: 'old', targets: [{ service: 'removed', weightPercent: 100 }] }],
  });
  const next = buildConfiguration(2, {
    services: [{ name: 'added' }, { name: 'changed', slots: 21 }, { name: 'kept' }],
    routes: [{ name: 'new', targets: [{ service: 'added', weightPercent: 100 }] }],
  });
  const delta = expectOk(createDelta(base, next));
  t.strictSame(
    delta.upsertedServices.map((service) => service.name),
    ['added', 'changed'],
  );
  t.strictSame(delta.removedServices, ['removed']);
  t.strictSame(
    delta.upsertedRoutes.map((route) => route.name),
    ['new'],
  );
  t.strictSame(delta.removedRoutes, ['old']);
});

tap.test('the delta of one changed route among 200 has one row', async (t) => {
  const base = buildSizedConfiguration(1);
  const next = buildSizedConfiguration(2, { firstTimeoutMs: 450 });
  const delta = expectOk(createDelta(base, next));
  t.equal(delta.upsertedRoutes.length, 1);
  t.equal(delta.upsertedServices.length, 0);
});

tap.test(
  'a delta to an older or equal version is refused, as it would revert a change',
  async (t) => {
    const version = buildSizedConfiguration(2);
    const older = buildSizedConfiguration(1);
    t.equal(expectError(createDelta(version, older)).code, ConfigurationErrorCode.NotNewer);
    t.equal(expectError(createDelta(version, version)).code, ConfigurationErrorCode.NotNewer);
  },
);

tap.test('the delta of one changed workspace contains no other one', async (t) => {
  const kept = { name: 'kept' };
  const base = buildConfiguration(1, { workspaces: [kept, { name: 'old' }, { name: 'slow' }] });
  const slower = { name: 'slow', ratePerSecond: 5 };
  const delta = expectOk(createDelta(base, buildConfiguration(2, { workspaces: [kept, slower] })));
  t.strictSame(
    delta.upsertedWorkspaces.map(({ name }) => name),
    ['slow'],
  );
  t.strictSame(delta.removedWorkspaces, ['old']);
});
