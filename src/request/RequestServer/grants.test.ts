import { setTimeout as delay } from 'node:timers/promises';

import tap from 'tap';

import type { Test } from 'tap';
import createRandom from '../../../test/requestMesh/createRandom.js';
import { TestMesh, send } from '../../../test/requestMesh/index.js';
import { AnnouncedState, SlotGate } from '../../process/localServers/index.js';
import { GRANT_MAX_CALL_MS, GRANT_LEASE_MS, SlotGrantor } from '../grantSlots/index.js';

import type { TestNode } from '../../../test/requestMesh/index.js';

/** A direct call requires a deadline within the hold time of a grant. */
const headers = { 'foxtailvane-deadline-ms': '4000' };

const countDirect = (node: TestNode): number => node.metrics.counter('requests_direct').value;

const startMesh = async (t: Test, slots: number, serviceMs: number) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entries = [await mesh.startNode('entry-1'), await mesh.startNode('entry-2')];
  const owner = await mesh.startNode('owner');
  const seen = { active: 0, most: 0, count: 0 };
  const backend = await mesh.startBackend(
    owner,
    (_, response) => {
      seen.active += 1;
      seen.count += 1;
      seen.most = Math.max(seen.most, seen.active);
      setTimeout(() => {
        seen.active -= 1;
        response.end('ok');
      }, serviceMs);
    },
    { slots },
  );
  const announce = (state: AnnouncedState) => {
    const { address, announcement, serverId } = backend;
    const direct = { ...announcement, directAddress: address, state };
    owner.localServers.announce(serverId, direct, Date.now());
  };
  announce(AnnouncedState.Serving);
  return { mesh, entries, owner, seen, announce };
};

tap.test('an entry node with a grant calls the server directly', async (t) => {
  const { entries, seen } = await startMesh(t, 20, 0);
  const [entry] = entries;
  if (!entry) throw new Error('no entry node');
  for (let index = 0; index < 50; index += 1) await send(entry.address, { headers });
  t.equal(seen.count, 50);
  t.ok(countDirect(entry) > 0, `${countDirect(entry)} direct`);
});

tap.test('direct and forwarded calls together never use more than all slots', async (t) => {
  const { entries, owner, seen } = await startMesh(t, 6, 3);
  const random = createRandom((line) => t.comment(line));
  const caller = async (entry: TestNode) => {
    const endsAtMs = Date.now() + 2_500;
    while (Date.now() < endsAtMs) {
      await send(entry.address, { headers });
      // Pauses leave slots idle, so that they can be granted.
      await delay(random() < 0.1 ? 20 : 0);
    }
  };
  await Promise.all(entries.flatMap((entry) => [caller(entry), caller(entry), caller(entry)]));
  const direct = entries.reduce((sum, entry) => sum + countDirect(entry), 0);
  t.comment(`${seen.count} requests, ${direct} direct, at most ${seen.most} at once`);
  t.ok(seen.most <= 6, `${seen.most} at once`);
  t.ok(direct > 0, `${direct} direct`);
  const gate = owner.localServers.list()[0]?.gate;
  // Grants are returned once they are no longer used.
  while ((gate?.used ?? 0) > 0) await delay(20);
  t.equal(gate?.granted, 0);
});

tap.test('a draining server gets no request after the lease, even from stale nodes', async (t) => {
  const { mesh, entries, seen, announce } = await startMesh(t, 20, 0);
  const [entry] = entries;
  if (!entry) throw new Error('no entry node');
  for (let index = 0; index < 20; index += 1) await send(entry.address, { headers });
  mesh.directory.freeze();
  announce(AnnouncedState.Draining);
  await delay(GRANT_LEASE_MS);
  const before = seen.count;
  const reply = await send(entry.address, { headers });
  t.equal(reply.status, 503);
  t.equal(reply.headers['foxtailvane-outcome'], 'not-run');
  t.equal(seen.count, before);
});

tap.test('a grant that is not returned expires after the lease and the hold time', async (t) => {
  const gate = new SlotGate({ slots: 4 });
  const grantor = new SlotGrantor(7n);
  const id = grantor.grant(gate, 0);
  t.ok(id);
  grantor.expire(GRANT_LEASE_MS + GRANT_MAX_CALL_MS - 1);
  t.equal(gate.used, 1, 'a direct call may still be running');
  grantor.expire(GRANT_LEASE_MS + GRANT_MAX_CALL_MS);
  t.equal(gate.used, 0);
  grantor.release([id ?? ''], 0);
  t.equal(gate.used, 0, 'a return after the expiry has no effect');
});

tap.test('no grant is made or renewed while requests wait or the node drains', async (t) => {
  const gate = new SlotGate({ slots: 2 });
  const grantor = new SlotGrantor(7n);
  const id = grantor.grant(gate, 0) ?? '';
  t.strictSame(grantor.renew([id, 'unknown'], 0), [id]);
  const demand = { deadlineMs: 60_000, isRetry: false, isSlow: false };
  gate.admit(demand, 0, () => undefined);
  gate.admit(demand, 0, () => undefined);
  t.equal(gate.waiting, 1);
  t.strictSame(grantor.renew([id], 0), []);
  grantor.stop();
  t.equal(grantor.grant(new SlotGate({ slots: 9 }), 0), undefined);
});
