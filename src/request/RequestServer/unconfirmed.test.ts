import tap from 'tap';

import { TestMesh, send } from '../../../test/requestMesh/index.js';

// Guards against a 404 for a route that was added while no control VM was connected.
tap.test('a node with an unconfirmed version answers 503, not 404, without a route', async (t) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  let isCurrent = false;
  const node = await mesh.startNode('n1', { isCurrent: () => isCurrent });
  const unknown = { method: 'PATCH', path: '/added-since' };
  const refused = await send(node.address, unknown);
  t.equal(refused.status, 503);
  t.equal(refused.headers['foxtailvane-reason'], 'VERSION_UNCONFIRMED');
  isCurrent = true;
  t.equal((await send(node.address, unknown)).status, 404);
});
