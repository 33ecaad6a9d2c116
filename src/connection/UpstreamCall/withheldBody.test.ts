import { createServer } from 'node:http';

import tap from 'tap';

import type { Test } from 'tap';
import startFloodingServer from '../../../test/startFloodingServer/index.js';
import { listenOnLoopback, send } from '../../../test/requestMesh/index.js';
import { CallErrorCode } from '../CallError/index.js';
import { UpstreamPools } from '../UpstreamPools/index.js';
import { UpstreamCall } from './index.js';

const CHUNKED = 'HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n';
const UNFRAMED = 'HTTP/1.1 503 Busy\r\n\r\n';
const CHUNK = `4000\r\n${'x'.repeat(16_384)}\r\n`;
/** Far above the length that is dropped plus what the buffers of both systems hold of one connection. */
const MAX_SENT_BYTES = 16 * 1_048_576;

/** Starts a server that calls an upstream, withholds its response, and answers with the error's code. */
const startWithholding = async (t: Test, upstreamAddress: string): Promise<string> => {
  const pools = new UpstreamPools();
  t.teardown(() => pools.destroy());
  const server = createServer((_, response) => {
    const call = new UpstreamCall(response, { isNode: false, shouldWithhold: () => true });
    call
      .send(pools.get(upstreamAddress, 1), { method: 'GET', path: '/', headers: [], body: null })
      .then((result) => response.end(result.isErr() ? result.error.code : 'none'))
      .catch(() => response.destroy());
  });
  t.teardown(() => server.close());
  return listenOnLoopback(server);
};

// Guards against a refusal whose body does not end: its request stays neither refused nor retried until
// the deadline.
Object.entries({
  'in chunks': [CHUNKED, CHUNK],
  'without a length': [UNFRAMED, undefined],
}).forEach(([form, [start = '', part]]) =>
  tap.test(`a withheld body without end, ${form}, is cut`, { timeout: 10_000 }, async (t) => {
    const flood = part === undefined ? { start } : { start, part };
    const server = await startFloodingServer(t, flood);
    const address = await startWithholding(t, server.address);
    t.equal((await send(address)).body, CallErrorCode.Shed);
    t.ok(server.sentBytes() < MAX_SENT_BYTES, `${server.sentBytes()} bytes`);
  }),
);

// Guards against a connection that is closed after each ordinary refusal.
tap.test('the connection of a short withheld body is kept', async (t) => {
  const ports = new Set<number | undefined>();
  const server = createServer(({ socket }, response) => {
    ports.add(socket.remotePort);
    response.writeHead(503).end('x'.repeat(60_000));
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const address = await startWithholding(t, await listenOnLoopback(server));
  t.equal((await send(address)).body, CallErrorCode.Shed);
  t.equal((await send(address)).body, CallErrorCode.Shed);
  t.equal(ports.size, 1);
});
