import { createServer } from 'node:http';

import tap from 'tap';

import type { Test } from 'tap';
import type { Pool } from 'undici';
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

/** Counts the connections of a server whose first answers are held until `release`. */
const startHoldingServer = async (t: Test) => {
  const held: (() => void)[] = [];
  let isReleased = false;
  const server = createServer((request, response) => {
    const answer = (): void => {
      response.end(request.url);
    };
    if (isReleased) answer();
    else held.push(answer);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const address = await listenOnLoopback(server);
  const release = (): void => {
    isReleased = true;
    held.splice(0).forEach((answer) => answer());
  };
  const cut = (): void => {
    isReleased = true;
    server.closeAllConnections();
  };
  return { address, held, release, cut };
};

const PATHS = ['/0', '/1', '/2', '/3', '/4', '/5', '/6', '/7'];

const sendAll = (pool: Pool): Promise<PromiseSettledResult<string>[]> =>
  Promise.allSettled(
    PATHS.map(async (path) => (await pool.request({ path, method: 'GET' })).body.text()),
  );

// Guards against requests that are lost with the pool in which they wait for a connection.
[
  { name: 'retired', end: (pools: UpstreamPools, address: string) => pools.retire(address) },
  { name: 'unused', end: (pools: UpstreamPools) => pools.retain(() => false) },
  { name: 'renewed', end: (pools: UpstreamPools) => pools.renew() },
].forEach(({ name, end }) =>
  tap.test(`requests that wait in a ${name} pool are sent`, async (t) => {
    const { address, held, release } = await startHoldingServer(t);
    const pools = new UpstreamPools();
    t.teardown(() => pools.destroy());
    const results = sendAll(pools.get(address, 2));
    while (held.length < 2) await new Promise(setImmediate);
    end(pools, address);
    release();
    t.strictSame(
      (await results).map((result) => result.status === 'fulfilled' && result.value),
      PATHS,
    );
  }),
);

// Guards against requests that wait for ever in a retired pool whose connections were lost.
tap.test('requests that wait in a retired pool are sent after its connections broke', async (t) => {
  const { address, held, cut } = await startHoldingServer(t);
  const pools = new UpstreamPools();
  t.teardown(() => pools.destroy());
  const results = sendAll(pools.get(address, 2));
  while (held.length < 2) await new Promise(setImmediate);
  pools.retire(address);
  cut();
  const settled = await results;
  t.equal(settled.filter(({ status }) => status === 'rejected').length, 2, 'those in progress');
  t.equal(settled.filter(({ status }) => status === 'fulfilled').length, PATHS.length - 2);
});
