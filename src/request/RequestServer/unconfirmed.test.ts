import tap from 'tap';

import { TestMesh, send } from '../../../test/requestMesh/index.js';

// Guards against a 404 for a route that was added while the node was cut off.
tap.test('a node whose version is unconfirmed does not deny that a route exists', async (t) => {
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
