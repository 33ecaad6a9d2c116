import { createServer } from 'node:http';
import { createServer as createTcpServer } from 'node:net';

import tap from 'tap';

import { listenOnLoopback, send } from '../../../test/requestMesh/index.js';
import { UpstreamPools } from '../UpstreamPools/index.js';
import { UpstreamCall } from './index.js';

const ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\norder';

// Guards against a rejection that nobody handles, which ends the process: the head and the end of a
// recorded response are written after the callback of the parser, where no exception is caught.
tap.test('a recorded response whose head cannot be written fails alone', async (t) => {
  const upstream = createTcpServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(ANSWER));
  });
  const pools = new UpstreamPools();
  const upstreamAddress = await listenOnLoopback(upstream);
  let setFailed: (isFailed: boolean) => void = () => undefined;
  const failed = new Promise<boolean>((resolve) => {
    setFailed = resolve;
  });
  const server = createServer((_, response) => {
    const recorder = {
      addHead: () => undefined,
      addChunk: () => undefined,
      // Stands for anything that Node.js refuses to write; it throws on a second head.
      finish: async () => {
        response.writeHead(502).end();
      },
    };
    const call = new UpstreamCall(response, { isNode: false, tap: recorder });
    call
      .send(pools.get(upstreamAddress, 1), { method: 'POST', path: '/', headers: [], body: null })
      .then((result) => setFailed(result.isErr()))
      .catch(() => setFailed(false));
  });
  t.teardown(async () => {
    await pools.destroy();
    upstream.close();
    server.closeAllConnections();
    server.close();
  });
  t.equal((await send(await listenOnLoopback(server))).status, 502);
  t.ok(await failed, 'the call is settled as failed');
});
