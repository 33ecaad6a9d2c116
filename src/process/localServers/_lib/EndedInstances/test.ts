import tap from 'tap';

import { EndedInstances } from './index.js';

const ADDRESS = '127.0.0.1:9001';

// Guards against a late announcement that adds an ended instance again.
tap.test('an instance has ended, and so have those that started before it', async (t) => {
  const ended = new EndedInstances();
  ended.record(ADDRESS, { serverId: 'd1', bornAtMs: 100 });
  t.ok(ended.has(ADDRESS, { serverId: 'd1', bornAtMs: 100 }));
  t.ok(ended.has(ADDRESS, { serverId: 'd0', bornAtMs: 50 }));
  t.notOk(ended.has(ADDRESS, { serverId: 'd1', bornAtMs: 101 }), 'started again under its id');
  t.notOk(ended.has('127.0.0.2:9001', { serverId: 'd1', bornAtMs: 100 }));
});

// Guards against the late end of an earlier instance, after which the newer one counts as running.
tap.test('the end of an earlier instance does not replace that of a newer one', async (t) => {
  const ended = new EndedInstances();
  ended.record(ADDRESS, { serverId: 'd2', bornAtMs: 200 });
  ended.record(ADDRESS, { serverId: 'd1', bornAtMs: 100 });
  t.ok(ended.has(ADDRESS, { serverId: 'd2', bornAtMs: 200 }));
  t.ok(ended.hasId(ADDRESS, 'd2'));
  t.notOk(ended.hasId(ADDRESS, 'd1'));
});

// Guards against a late announcement of an instance that did not state its start time as it ended.
tap.test('the end of an instance without a start time is that of all earlier starts', async (t) => {
  const ended = new EndedInstances();
  ended.recordUndated(ADDRESS, 'd1', 200);
  t.ok(ended.has(ADDRESS, { serverId: 'd1', bornAtMs: 100 }));
  t.ok(ended.hasId(ADDRESS, 'd1'));
  t.notOk(ended.has(ADDRESS, { serverId: 'd1', bornAtMs: 201 }), 'started again under its id');
  t.notOk(ended.has(ADDRESS, { serverId: 'd2', bornAtMs: 100 }), 'another server');
  t.notOk(ended.has('127.0.0.2:9001', { serverId: 'd1', bornAtMs: 100 }));
});
