/** Responses with a Trailer field, which Node.js refuses to write unless the body is sent in chunks. */
import { createServer } from 'node:http';
import { createServer as createTcpServer } from 'node:net';

import tap from 'tap';

import type { Test } from 'tap';
import { listenOnLoopback, send } from '../../../test/requestMesh/index.js';
import { UpstreamPools } from '../UpstreamPools/index.js';
import { UpstreamCall } from './index.js';
import type { ResponseTap } from './index.js';

const RESPONSES = {
  'a length': 'HTTP/1.1 200 OK\r\nTrailer: X-Checksum\r\nContent-Length: 5\r\n\r\norder',
  'no body': 'HTTP/1.1 204 No Content\r\nTrailer: X-Checksum\r\n\r\n',
  'no length': 'HTTP/1.1 200 OK\r\nTrailer: X-Checksum\r\nConnection: close\r\n\r\norder',
};

const RECORDER: ResponseTap = {
  addHead: () => undefined,
  addChunk: () => undefined,
  finish: () => Promise.resolve(),
};

/** Starts a server that passes each request on to an upstream with that response. */
const startRelay = async (t: Test, answer: string, recorder: { tap?: ResponseTap }) => {
  const upstream = createTcpServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(answer));
  });
  const upstreamAddress = await listenOnLoopback(upstream);
  const pools = new UpstreamPools();
  const server = createServer((_, response) => {
    const call = new UpstreamCall(response, { isNode: false, ...recorder });
    call
      .send(pools.get(upstreamAddress, 1), { method: 'POST', path: '/', headers: [], body: null })
      .then((result) => result.isErr() && response.writeHead(502).end(result.error.message))
      .catch(() => response.destroy());
  });
  t.teardown(async () => {
    await pools.destroy();
    upstream.close();
    server.closeAllConnections();
    server.close();
  });
  return listenOnLoopback(server);
};

Object.entries(RESPONSES).forEach(([title, answer]) => {
  const status = Number(answer.split(' ')[1]);
  // Guards against a good answer that is lost, since its head can't be written.
  tap.test(`a response with ${title} and a Trailer field is passed on`, async (t) => {
    t.equal((await send(await startRelay(t, answer, {}))).status, status);
  });

  // Guards against a rejection that nobody handles, which ends the process: the head and the end of a
  // recorded response are written after the callback of the parser.
  tap.test(`a recorded response with ${title} and a Trailer field is passed on`, async (t) => {
    t.equal((await send(await startRelay(t, answer, { tap: RECORDER }))).status, status);
  });
});
