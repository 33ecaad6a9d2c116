import tap from 'tap';

import { TestMesh, send } from '../../../test/requestMesh/index.js';

tap.test('a request reaches a server of another node over two hops', async (t) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry');
  const owner = await mesh.startNode('owner');
  await mesh.startBackend(owner, (request, response) => {
    response.end(`${request.method} ${request.url}`);
  });
  const reply = await send(entry.address, { path: '/stock?item=7' });
  t.equal(reply.status, 200);
  t.equal(reply.body, 'GET /stock?item=7');
});

tap.test('without a server, a request is refused with the outcome not-run', async (t) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry');
  const reply = await send(entry.address);
  t.equal(reply.status, 503);
  t.equal(reply.headers['foxtailvane-outcome'], 'not-run');
  t.match(reply.headers['retry-after'], /^\d+$/);
});
