import tap from 'tap';

import { create } from '@bufbuild/protobuf';

import { ServiceSchema } from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import { ServerState } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';
import { AnnouncedState } from '../_lib/parseAnnouncement.js';
import { LocalServers } from './index.js';

import type { Announcement } from '../_lib/parseAnnouncement.js';

const START_MS = 1_000_000;
const LEASE_MS = 3_000;

const desk: Announcement = {
  service: 'order-desk',
  address: '127.0.0.1:9001',
  slots: 1,
  connections: 130,
  state: AnnouncedState.Serving,
};

const createServers = () =>
  new LocalServers({ nodeId: 'n1', dataCentre: 'a', incarnation: 1n, leaseMs: LEASE_MS });

const demand = { deadlineMs: START_MS + 60_000, isRetry: false, isSlow: false };

tap.test('a server is removed when its lease ends, unless it is renewed', async (t) => {
  const servers = createServers();
  servers.announce('desk-1', desk, START_MS);
  servers.announce('desk-2', { ...desk, address: '127.0.0.1:9002' }, START_MS);
  servers.announce('desk-2', { ...desk, address: '127.0.0.1:9002' }, START_MS + 1_000);
  t.strictSame(servers.expire(START_MS + LEASE_MS - 1), []);
  t.strictSame(servers.expire(START_MS + LEASE_MS), ['desk-1']);
  t.equal(servers.record().servers.length, 1);
});

tap.test('a renewal without a change publishes no new record', async (t) => {
  const servers = createServers();
  servers.announce('desk-1', desk, START_MS);
  const { sequence } = servers.record();
  let updates = 0;
  servers.onChanged(() => {
    updates += 1;
  });
  servers.announce('desk-1', desk, START_MS + 1_000);
  t.equal(updates, 0);
  servers.announce('desk-1', { ...desk, state: AnnouncedState.Draining }, START_MS + 2_000);
  t.equal(updates, 1);
  t.equal(servers.record().sequence, sequence + 1);
  t.equal(servers.record().servers[0]?.state, ServerState.DRAINING);
});

// Guards against a server that stays without a version because it was found by a probe at first.
tap.test('a server that states its software version later is published again', async (t) => {
  const servers = createServers();
  servers.announce('desk-1', desk, START_MS);
  t.equal(servers.record().servers[0]?.softwareVersion, '');
  const { sequence } = servers.record();
  servers.announce('desk-1', { ...desk, softwareVersion: 'v2' }, START_MS + 1_000);
  t.equal(servers.record().servers[0]?.softwareVersion, 'v2');
  t.equal(servers.record().sequence, sequence + 1);
});

// Guards against a slow start at each renewal.
tap.test('a renewal does not change the time since which a server has been serving', async (t) => {
  const servers = createServers();
  servers.announce('desk-1', { ...desk, state: AnnouncedState.Starting }, START_MS);
  servers.announce('desk-1', desk, START_MS + 500);
  servers.announce('desk-1', desk, START_MS + 1_500);
  t.equal(servers.record().servers[0]?.servingSinceMs, BigInt(START_MS + 500));
});

tap.test('requests that outlive a lease keep their slot when the server returns', async (t) => {
  const servers = createServers();
  servers.announce('desk-1', desk, START_MS);
  const before = servers.find('desk-1');
  before?.gate.admit(demand, START_MS, () => undefined);
  servers.expire(START_MS + LEASE_MS);
  servers.announce('desk-1', desk, START_MS + LEASE_MS + 1);
  const after = servers.find('desk-1');
  t.equal(after?.gate.used, 1);
});

// Guards against requests from nodes that have not received the new state yet.
tap.test('a draining server refuses new requests immediately', async (t) => {
  const servers = createServers();
  servers.announce('desk-1', desk, START_MS);
  servers.announce('desk-1', { ...desk, state: AnnouncedState.Draining }, START_MS + 1);
  const refusals: unknown[] = [];
  servers.find('desk-1')?.gate.admit(demand, START_MS + 2, (refusal) => refusals.push(refusal));
  t.strictSame(refusals, ['SERVER_CLOSED']);
  servers.announce('desk-1', desk, START_MS + 3);
  servers.find('desk-1')?.gate.admit(demand, START_MS + 4, (refusal) => refusals.push(refusal));
  t.strictSame(refusals, ['SERVER_CLOSED', undefined]);
});

// Guards against overloading a server that announces more slots than it can serve.
tap.test('the sheet limits the slots that a server announces', async (t) => {
  const service = create(ServiceSchema, { name: 'order-desk', slots: 2, connections: 10 });
  const servers = new LocalServers({
    nodeId: 'n1',
    dataCentre: 'a',
    incarnation: 1n,
    findService: (name) => (name === service.name ? service : undefined),
  });
  servers.announce('desk-1', { ...desk, slots: 20 }, START_MS);
  t.match(servers.record().servers[0], { slots: 2, connections: 10 });
  service.slots = 30;
  servers.announce('desk-1', { ...desk, slots: 20 }, START_MS + 1_000);
  t.match(servers.record().servers[0], { slots: 20 }, 'the lower of the two applies');
  t.equal(servers.find('desk-1')?.gate.capacity, 20);
});

const createNumbered = (bornAtMs: number, sequence: number, state = AnnouncedState.Serving) => ({
  service: 'desk',
  address: '127.0.0.1:9000',
  slots: 4,
  connections: 8,
  state,
  bornAtMs,
  sequence,
});

// Guards against requests to a server that has announced that it drains.
tap.test('a late announcement does not undo a newer one of the same instance', async (t) => {
  const servers = createServers();
  servers.announce('d1', createNumbered(100, 5, AnnouncedState.Draining), 0);
  servers.announce('d1', createNumbered(100, 4), 1);
  t.equal(servers.find('d1')?.server.state, ServerState.DRAINING);
});

// Guards against a partition that delays an announcement of a crashed server past its successor's.
tap.test('an announcement of an earlier instance at the address is ignored', async (t) => {
  const servers = createServers();
  servers.announce('d1', createNumbered(100, 5), 0);
  servers.announce('d2', createNumbered(200, 1), 1);
  servers.announce('d1', createNumbered(100, 6), 2);
  t.strictSame(
    servers.list().map(({ server }) => server.serverId),
    ['d2'],
  );
});

tap.test('a restarted server with the same id starts a new sequence', async (t) => {
  const servers = createServers();
  servers.announce('d1', createNumbered(100, 50, AnnouncedState.Draining), 0);
  servers.announce('d1', createNumbered(200, 1), 1);
  t.equal(servers.find('d1')?.server.state, ServerState.SERVING);
});

tap.test('a late announcement does not add a withdrawn server again', async (t) => {
  const servers = createServers();
  servers.announce('d1', createNumbered(100, 5), 0);
  servers.withdraw('d1');
  servers.announce('d1', createNumbered(100, 6), 1);
  t.strictSame(servers.list(), []);
});

// Guards against requests to a server that deregistered at a node which had just started (DRAIN).
tap.test('a server that deregisters before it is known is not added by a late one', async (t) => {
  const servers = createServers();
  const announcement = createNumbered(100, 5);
  const { address } = announcement;
  t.ok(servers.withdraw('d1', { address, bornAtMs: 100 }).isErr(), 'nothing to remove');
  servers.announce('d1', announcement, 1);
  t.strictSame(servers.list(), []);
  t.ok(servers.isWithdrawn('d1', address), 'a probe does not discover it either');
  servers.announce('d1', createNumbered(200, 1), 2);
  t.equal(servers.list().length, 1, 'it may start again under its id');
});

// Guards against a late announcement of a server that deregistered without its start time at a node which
// had just started, or had found it by a probe (DRAIN).
tap.test('a deregistration without a start time ends all earlier starts', async (t) => {
  const { bornAtMs, sequence, ...discovered } = createNumbered(100, 5);
  [undefined, discovered].forEach((known) => {
    const servers = createServers();
    if (known) servers.announce('d1', known, 0);
    servers.withdraw('d1', { address: discovered.address, withdrawnAtMs: 150 });
    servers.announce('d1', createNumbered(100, 6), 1);
    t.strictSame(servers.list(), []);
    t.ok(servers.isWithdrawn('d1', discovered.address), 'a probe does not discover it either');
    servers.announce('d1', createNumbered(200, 1), 2);
    t.equal(servers.list().length, 1, 'it may start again under its id');
  });
});

// Guards against a server that was found by a probe, whose start time only its deregistration states.
tap.test('a discovered server that deregisters is not added by a late announcement', async (t) => {
  const servers = createServers();
  const { bornAtMs, sequence, ...discovered } = createNumbered(100, 5);
  servers.announce('d1', discovered, 0);
  t.ok(servers.withdraw('d1', { address: discovered.address, bornAtMs: 100 }).isOk());
  servers.announce('d1', { ...discovered, ...(bornAtMs && { bornAtMs }), sequence: 6 }, 1);
  t.strictSame(servers.list(), []);
});

// Guards against an acknowledged deregistration that leaves the former start of the server in use.
tap.test('the deregistration of a later start removes the former one under its id', async (t) => {
  const servers = createServers();
  const announcement = createNumbered(100, 5);
  servers.announce('d1', announcement, 0);
  t.ok(servers.withdraw('d1', { address: announcement.address, bornAtMs: 200 }).isOk());
  t.strictSame(servers.list(), []);
});

// Guards against a deregistration that arrives after the server has started again.
tap.test('the late deregistration of an earlier start removes nothing', async (t) => {
  const servers = createServers();
  const announcement = createNumbered(200, 1);
  servers.announce('d1', announcement, 0);
  t.ok(servers.withdraw('d1', { address: announcement.address, bornAtMs: 100 }).isErr());
  t.equal(servers.list().length, 1);
  servers.announce('d1', createNumbered(200, 2), 1);
  t.equal(servers.find('d1')?.sequence, 2);
});

tap.test('a server whose lease ended is added again by its next announcement', async (t) => {
  const servers = createServers();
  servers.announce('d1', createNumbered(100, 5), 0);
  servers.expire(1_000_000);
  servers.announce('d1', createNumbered(100, 6), 1_000_001);
  t.equal(servers.list().length, 1);
});

const limited = { maxRequestsPerSecond: 5, isLeaving: false };
const unlimited = { maxRequestsPerSecond: undefined, isLeaving: false };

// Guards against a response sent before the limit was named that arrives after it.
tap.test('only the response to a later request lifts the limit of a server', async (t) => {
  const servers = createServers();
  servers.announce('desk-1', desk, START_MS);
  const local = servers.find('desk-1');
  if (!local) throw new Error('the server is not announced');
  servers.recordNotice(local, limited, { sentAtMs: START_MS, nowMs: START_MS + 100 });
  servers.recordNotice(local, unlimited, { sentAtMs: START_MS + 50, nowMs: START_MS + 900 });
  t.equal(local.gate.maxRequestsPerSecond, 5);
  servers.recordNotice(local, unlimited, { sentAtMs: START_MS + 700, nowMs: START_MS + 900 });
  t.equal(local.gate.maxRequestsPerSecond, undefined);
});

// Guards against a limit that was named to another node and lifted since.
tap.test('a limit known to another node counts until the first response only', async (t) => {
  const servers = createServers();
  servers.announce('desk-1', desk, START_MS);
  const local = servers.find('desk-1');
  if (!local) throw new Error('the server is not announced');
  servers.adoptLimit(local, 5, START_MS);
  t.equal(local.gate.maxRequestsPerSecond, 5);
  servers.recordNotice(local, unlimited, { sentAtMs: START_MS + 600, nowMs: START_MS + 700 });
  servers.adoptLimit(local, 5, START_MS + 800);
  t.equal(local.gate.maxRequestsPerSecond, undefined);
});

// Guards against the limit of a former server at the address.
tap.test('a new server at the address of a limited one starts without its limit', async (t) => {
  const servers = createServers();
  servers.announce('desk-1', { ...desk, bornAtMs: 1 }, START_MS);
  const former = servers.find('desk-1');
  if (!former) throw new Error('the server is not announced');
  servers.recordNotice(former, limited, { sentAtMs: START_MS, nowMs: START_MS });
  former.gate.limitRate(100, START_MS + 500);
  former.gate.admit(demand, START_MS + 1_000, () => undefined);
  servers.announce('desk-2', { ...desk, bornAtMs: 2 }, START_MS + 1_500);
  t.equal(servers.find('desk-2')?.gate.used, 1, 'the slot of the former server stays in use');
  t.equal(servers.find('desk-2')?.gate.maxRequestsPerSecond, undefined);
});
