import { createServer as createHttpServer } from 'node:http';

import tap from 'tap';

import startFloodingServer from '../../../../test/startFloodingServer/index.js';
import { listenOnLoopback } from '../../../../test/requestMesh/index.js';
import { LocalServers } from '../LocalServers/index.js';
import { discoverServer } from './index.js';

const START_MS = 1_000_000;
/** Far above the limit on overhead plus what the buffers of both systems hold of one connection. */
const MAX_SENT_BYTES = 16 * 1_048_576;

const discover = async (address: string): Promise<boolean> => {
  const localServers = new LocalServers({ nodeId: 'n1', dataCentre: 'a', incarnation: 1n });
  const expected = { service: 'desk', address, healthPath: '/health', slots: 4 };
  const server = { ...expected, identityHeader: 'instance-id' };
  const isFound = await discoverServer(localServers, server, () => START_MS);
  return isFound && localServers.find('desk-1') !== undefined;
};

tap.test('a healthy server is announced under its id', async (t) => {
  const server = createHttpServer((_, response) => {
    response.writeHead(200, { 'instance-id': 'desk-1' }).end();
  });
  t.teardown(() => server.close());
  t.equal(await discover(await listenOnLoopback(server)), true);
});

// Guards against a probe that parses bytes without end until its time is over, each time it is repeated.
tap.test('a server that sends bytes without end is not found', async (t) => {
  const server = await startFloodingServer(t, { start: 'HTTP/1.1 200 ' });
  t.equal(await discover(server.address), false);
  t.ok(server.sentBytes() < MAX_SENT_BYTES, `${server.sentBytes()} bytes`);
});
