import tap from 'tap';

import { LocalServers } from '../LocalServers/index.js';
import { createLocalServerRoutes } from './index.js';

const START_MS = 1_000_000;

const desk = {
  service: 'order-desk',
  address: '127.0.0.1:9001',
  slots: 20,
  connections: 130,
  state: 'serving',
};

const setUp = () => {
  const servers = new LocalServers({ nodeId: 'n1', dataCentre: 'a', incarnation: 1n });
  const app = createLocalServerRoutes(servers, { getNowMs: () => START_MS });
  const put = (body: unknown, serverId = 'desk-1') =>
    app.request(`/v1/servers/${serverId}`, {
      method: 'PUT',
      body: typeof body === 'string' ? body : JSON.stringify(body),
    });
  return { servers, app, put };
};

tap.test('an announced server is listed in the node record', async (t) => {
  const { servers, put } = setUp();
  const response = await put(desk);
  t.equal(response.status, 200);
  t.strictSame(await response.json(), { leaseMs: 3_000 });
  t.equal(servers.record().servers[0]?.serverId, 'desk-1');
});

tap.test('an invalid announcement is rejected with the name of the field', async (t) => {
  const { servers, put } = setUp();
  const cases: [unknown, string][] = [
    [{ ...desk, slots: 0 }, 'slots'],
    [{ ...desk, slots: '20' }, 'slots'],
    [{ ...desk, connections: 1.5 }, 'connections'],
    [{ ...desk, address: 'localhost:9001' }, 'address'],
    [{ ...desk, address: '127.0.0.1:0' }, 'address'],
    [{ ...desk, directAddress: '127.0.0.1' }, 'directAddress'],
    [{ ...desk, state: 'resting' }, 'state'],
    [{ ...desk, service: 'order desk' }, 'service'],
    [{ ...desk, service: undefined }, 'service'],
    [{ ...desk, slotz: 1 }, 'slotz'],
    ['{', 'body'],
  ];
  await Promise.all(
    cases.map(async ([body, field]) => {
      const response = await put(body);
      t.equal(response.status, 400, field);
      const error = (await response.json()) as { field: string; message: string };
      t.equal(error.field, field);
      t.ok(error.message.startsWith(field), error.message);
    }),
  );
  t.equal(servers.list().length, 0);
});

tap.test('a withdrawn server is removed at once; a second withdrawal is an error', async (t) => {
  const { servers, app, put } = setUp();
  await put(desk);
  const first = await app.request('/v1/servers/desk-1', { method: 'DELETE' });
  t.equal(first.status, 204);
  t.equal(servers.record().servers.length, 0);
  const second = await app.request('/v1/servers/desk-1', { method: 'DELETE' });
  t.equal(second.status, 404);
});

tap.test('a draining node rejects new servers, but renews announced ones', async (t) => {
  const { servers, put } = setUp();
  await put(desk);
  servers.drain();
  t.equal((await put(desk)).status, 200);
  t.equal((await put(desk, 'desk-2')).status, 503);
});
