import { createServer } from 'node:http';

import tap from 'tap';

import { listenOnLoopback } from '../../../test/requestMesh/index.js';
import { UpstreamPools } from './index.js';

tap.test('an unused pool closes after its requests ended', async (t) => {
  const held: (() => void)[] = [];
  const server = createServer((_, response) => {
    held.push(() => response.end('done'));
  });
  t.teardown(() => server.close());
  const address = await listenOnLoopback(server);
  const pools = new UpstreamPools();
  t.teardown(() => pools.destroy());
  const pool = pools.get(address, 4);
  t.equal(pools.get(address, 4), pool, 'one pool per address');
  const reply = pool.request({ path: '/', method: 'GET' });
  while (held.length === 0) await new Promise(setImmediate);
  pools.retain(() => false);
  held.forEach((finish) => finish());
  t.equal(await (await reply).body.text(), 'done');
  t.equal(pool.closed, true);
  t.not(pools.get(address, 4), pool);
});
