import { setTimeout as delay } from 'node:timers/promises';

import tap from 'tap';

import type { Test } from 'tap';
import createRandom from '../../../test/requestMesh/createRandom.js';
import { TestMesh, send } from '../../../test/requestMesh/index.js';
import { AnnouncedState, SlotGate } from '../../process/localServers/index.js';
import { GRANT_LEASE_MS, GRANT_MAX_CALL_MS, SlotLender } from '../lendSlots/index.js';

import type { TestNode } from '../../../test/requestMesh/index.js';

/** Grants are made only for deadlines that surely end within the hold time. */
const headers = { 'foxtailvane-deadline-ms': '4000' };

const countDirect = (node: TestNode): number => node.metrics.counter('requests_direct').value;

const open = async (t: Test, slots: number, serviceMs: number) => {
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

tap.test('with a grant, an entry node calls the server in one hop', async (t) => {
  const { entries, seen } = await open(t, 20, 0);
  const [entry] = entries;
  if (!entry) throw new Error('no entry node');
  for (let index = 0; index < 50; index += 1) await send(entry.address, { headers });
  t.equal(seen.count, 50);
  t.ok(countDirect(entry) > 0, `${countDirect(entry)} direct`);
});

tap.test('direct and forwarded calls together never exceed the slots', async (t) => {
  const { entries, owner, seen } = await open(t, 6, 3);
  const random = createRandom((line) => t.comment(line));
  const caller = async (entry: TestNode) => {
    const endsAtMs = Date.now() + 2_500;
    while (Date.now() < endsAtMs) {
      await send(entry.address, { headers });
      // Pauses let slots become idle, so that they are lent.
      await delay(random() < 0.1 ? 20 : 0);
    }
  };
  await Promise.all(entries.flatMap((entry) => [caller(entry), caller(entry), caller(entry)]));
  const direct = entries.reduce((sum, entry) => sum + countDirect(entry), 0);
  t.comment(`${seen.count} requests, ${direct} direct, at most ${seen.most} at once`);
  t.ok(seen.most <= 6, `${seen.most} at once`);
  t.ok(direct > 0, `${direct} direct`);
  const gate = owner.localServers.list()[0]?.gate;
  // Grants are returned when they are no longer used.
  while ((gate?.used ?? 0) > 0) await delay(20);
  t.equal(gate?.lent, 0);
});

tap.test('a draining server gets no request after the lease, even from stale nodes', async (t) => {
  const { mesh, entries, seen, announce } = await open(t, 20, 0);
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

tap.test('a grant whose borrower vanished ends after lease and hold time', async (t) => {
  const gate = new SlotGate({ slots: 4 });
  const lender = new SlotLender(7n);
  const id = lender.lend(gate, 0);
  t.ok(id);
  lender.expire(GRANT_LEASE_MS + GRANT_MAX_CALL_MS - 1);
  t.equal(gate.used, 1, 'a direct call may still run');
  lender.expire(GRANT_LEASE_MS + GRANT_MAX_CALL_MS);
  t.equal(gate.used, 0);
  lender.reclaim([id ?? ''], 0);
  t.equal(gate.used, 0, 'a late return counts once');
});

tap.test('nothing is lent or renewed while requests wait, or when the node drains', async (t) => {
  const gate = new SlotGate({ slots: 2 });
  const lender = new SlotLender(7n);
  const id = lender.lend(gate, 0) ?? '';
  t.strictSame(lender.renew([id, 'unknown'], 0), [id]);
  const demand = { deadlineMs: 60_000, isRetry: false, isSlow: false };
  gate.admit(demand, 0, () => undefined);
  gate.admit(demand, 0, () => undefined);
  t.equal(gate.waiting, 1);
  t.strictSame(lender.renew([id], 0), []);
  lender.stop();
  t.equal(lender.lend(new SlotGate({ slots: 9 }), 0), undefined);
});
