import { createServer } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import { createServer as createTcpServer } from 'node:net';

import tap from 'tap';

import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';
import type { Test } from 'tap';
import { TestAuthority } from '../../../stand-ins/certificates/index.js';
import startFloodingServer from '../../../test/startFloodingServer/index.js';
import { listenOnLoopback } from '../../../test/requestMesh/index.js';
import { MetricsRegistry } from '../../process/metrics/index.js';
import { UpstreamPools } from '../UpstreamPools/index.js';

/** Far above the limit on overhead plus what the buffers of both systems hold of one connection. */
const MAX_SENT_BYTES = 16 * 1_048_576;
const FILLER = 'x'.repeat(16_384);
const FIELDS = 'x-more: value\r\n'.repeat(1_000);
const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

const US_PER_MS = 1_000;
/** A quarter of a core at ten such requests a second. */
const MAX_MEAN_MS = 25;

interface Flood {
  start: string;
  part: string;
  state: 'AWAITING_HEAD' | 'AWAITING_END';
}

const FLOODS: Record<string, Flood> = {
  'a status line': { start: 'HTTP/1.1 200 ', part: FILLER, state: 'AWAITING_HEAD' },
  'blank lines': { start: '', part: '\r\n'.repeat(8_192), state: 'AWAITING_HEAD' },
  'early hints': {
    start: '',
    part: 'HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n'.repeat(200),
    state: 'AWAITING_HEAD',
  },
  'processing responses': {
    start: '',
    part: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(500),
    state: 'AWAITING_HEAD',
  },
  '100 responses': {
    start: '',
    part: 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(500),
    state: 'AWAITING_HEAD',
  },
  'a 100 response': {
    start: 'HTTP/1.1 100 Continue\r\n',
    part: FIELDS,
    state: 'AWAITING_HEAD',
  },
  'unknown informational responses': {
    start: '',
    part: 'HTTP/1.1 199 Later\r\n\r\n'.repeat(500),
    state: 'AWAITING_HEAD',
  },
  headers: { start: 'HTTP/1.1 200 OK\r\n', part: FIELDS, state: 'AWAITING_HEAD' },
  trailers: { start: `${CHUNKED}0\r\n`, part: FIELDS, state: 'AWAITING_END' },
  'a chunk extension': { start: `${CHUNKED}5;x=`, part: FILLER, state: 'AWAITING_END' },
  'long extensions of short chunks': {
    start: CHUNKED,
    part: `1;x=${FILLER}\r\ny\r\n`,
    state: 'AWAITING_END',
  },
  'zeros before a chunk length': { start: CHUNKED, part: '0'.repeat(8_192), state: 'AWAITING_END' },
};

const createPools = (t: Test) => {
  const metrics = new MetricsRegistry();
  const pools = new UpstreamPools({ metrics });
  t.teardown(() => pools.destroy());
  return { metrics, pools };
};

const sendRequest = async (pool: Dispatcher, path = '/'): Promise<Buffer> => {
  const { body } = await pool.request({ method: 'GET', path });
  return Buffer.from(await body.arrayBuffer());
};

// Guards against bytes that are kept, or cost processor time, until the deadline of a request.
Object.entries(FLOODS).forEach(([name, flood]) =>
  tap.test(`${name} without end closes the connection at once`, { timeout: 10_000 }, async (t) => {
    const { address, sentBytes } = await startFloodingServer(t, flood);
    const { metrics, pools } = createPools(t);
    await t.rejects(sendRequest(pools.get(address, 1)));
    t.ok(sentBytes() < MAX_SENT_BYTES, `${sentBytes()} bytes`);
    const labels = { reason: 'overhead', state: flood.state };
    t.equal(metrics.counter('upstream_connections_closed', labels).value, 1);
  }),
);

// Guards against a processor that is busy with the fields of one faulty server: those beyond the limit of
// the parser took 0.1 s for each connection.
tap.test('headers without end cost little processor time', async (t) => {
  // One read returns several times the limit.
  const part = FIELDS.repeat(5);
  const { address } = await startFloodingServer(t, { start: 'HTTP/1.1 200 OK\r\n', part });
  const { pools } = createPools(t);
  const pool = pools.get(address, 1);
  const sendAll = async (left: number): Promise<void> => {
    if (left === 0) return;
    await t.rejects(sendRequest(pool));
    await sendAll(left - 1);
  };
  await sendAll(5);
  const { user } = process.cpuUsage();
  await sendAll(20);
  const meanMs = (process.cpuUsage().user - user) / 20 / US_PER_MS;
  t.ok(meanMs < MAX_MEAN_MS, `${meanMs.toFixed(1)} ms per request`);
});

const startServer = async (t: Test, server: Server): Promise<string> => {
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return listenOnLoopback(server);
};

// Guards against a kept connection that is closed because of the heads of all its responses together.
tap.test('each response on a kept connection has the whole limit', async (t) => {
  const ports = new Set<number | undefined>();
  const server = createServer(({ socket }, response) => {
    ports.add(socket.remotePort);
    response.writeEarlyHints({ link: '</style.css>; rel=preload' });
    response.setHeader('x-long', 'x'.repeat(30_000));
    response.end('done');
  });
  const { pools } = createPools(t);
  const pool = pools.get(await startServer(t, server), 1);
  const sendAll = async (left: number): Promise<void> => {
    if (left === 0) return;
    t.equal((await sendRequest(pool)).toString(), 'done');
    await sendAll(left - 1);
  };
  await sendAll(50);
  t.equal(ports.size, 1);
});

// Guards against a long response, or one in short chunks, that is taken for bytes without a response.
tap.test('bodies of any length and form arrive whole', async (t) => {
  const long = Buffer.alloc(8 * 1_048_576, 'y');
  const shortChunks = Buffer.alloc(200_000, 'z');
  const server = createServer(({ url }, response) => {
    if (url === '/long') response.end(long);
    else if (url === '/chunked') response.write(long, () => response.end());
    else if (url === '/unframed') response.writeHead(200, { connection: 'close' }).end(long);
    else shortChunks.forEach((byte) => response.write(Buffer.from([byte])));
    if (url === '/short-chunks') {
      response.addTrailers({ 'x-after': 'x'.repeat(8_192) });
      response.end();
    }
  });
  const { metrics, pools } = createPools(t);
  const pool = pools.get(await startServer(t, server), 1);
  t.ok((await sendRequest(pool, '/long')).equals(long));
  t.ok((await sendRequest(pool, '/chunked')).equals(long));
  t.ok((await sendRequest(pool, '/unframed')).equals(long));
  t.ok((await sendRequest(pool, '/short-chunks')).equals(shortChunks));
  t.equal(metrics.render(), '\n');
});

/** Sends a request; returns the length of its body, which is read slower than it is sent. */
const readWithPauses = async (pool: Dispatcher): Promise<number> => {
  const { body } = await pool.request({ method: 'GET', path: '/' });
  let readBytes = 0;
  for await (const part of body) {
    readBytes += (part as Buffer).length;
    await new Promise((resolve) => {
      setTimeout(resolve, 1);
    });
  }
  return readBytes;
};

// Guards against a paused reader, whose unparsed bytes wait, being taken for a faulty upstream.
tap.test('a response that is read with pauses arrives whole', async (t) => {
  const long = Buffer.alloc(4 * 1_048_576, 'y');
  const server = createServer((_, response) => response.end(long));
  const { pools } = createPools(t);
  const pool = pools.get(await startServer(t, server), 1);
  t.equal(await readWithPauses(pool), long.length);
});

// Guards against requests that fail because of bytes on an idle connection.
tap.test('bytes without end on an idle connection close it alone', async (t) => {
  const sockets: Socket[] = [];
  const server = createTcpServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone'));
  });
  const { metrics, pools } = createPools(t);
  const pool = pools.get(await listenOnLoopback(server), 1);
  t.teardown(() => server.close());
  t.equal((await sendRequest(pool)).toString(), 'done');
  const [first] = sockets;
  const flood = (): void => {
    if (first && !first.destroyed) first.write('\r\n'.repeat(8_192), () => setImmediate(flood));
  };
  flood();
  await new Promise((resolve) => {
    first?.once('close', resolve);
  });
  t.equal((await sendRequest(pool)).toString(), 'done');
  const labels = { reason: 'overhead', state: 'IDLE' };
  t.equal(metrics.counter('upstream_connections_closed', labels).value, 1);
});

const CONTINUE = 'HTTP/1.1 100 Continue\r\n\r\n';
const DONE = 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone';

// Guards against a good answer that is lost because of a 100 response that was not asked for.
tap.test('100 responses before an answer are dropped, however they are cut', async (t) => {
  const ports = new Set<number | undefined>();
  const writeParts = (socket: Socket, parts: string[]): void => {
    const [part, ...rest] = parts;
    if (part !== undefined) socket.write(part, () => setImmediate(writeParts, socket, rest));
  };
  const server = createTcpServer((socket) => {
    ports.add(socket.remotePort);
    socket.setNoDelay();
    socket.on('error', () => undefined);
    socket.on('data', (request) => {
      const answer = `${CONTINUE}HTTP/1.1 102 Processing\r\n\r\n${CONTINUE}${DONE}`;
      const isCut = request.includes('/cut');
      writeParts(socket, isCut ? [...answer] : [answer]);
    });
  });
  const { metrics, pools } = createPools(t);
  const pool = pools.get(await listenOnLoopback(server), 1);
  t.teardown(() => server.close());
  t.equal((await sendRequest(pool)).toString(), 'done');
  t.equal((await sendRequest(pool, '/cut')).toString(), 'done');
  t.equal((await sendRequest(pool)).toString(), 'done');
  t.equal(ports.size, 1, 'the connection is kept');
  t.equal(metrics.render(), '\n');
});

// Guards against bytes that came without a request and count toward the next one.
tap.test('a 100 response on an idle connection closes it', async (t) => {
  const sockets: Socket[] = [];
  const server = createTcpServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => socket.write(DONE));
  });
  const address = await listenOnLoopback(server);
  t.teardown(() => server.close());
  const unrequested: string[] = [];
  const pools = new UpstreamPools({ onUnrequestedBytes: (from) => unrequested.push(from) });
  t.teardown(() => pools.destroy());
  t.equal((await sendRequest(pools.get(address, 1))).toString(), 'done');
  const closed = new Promise((resolve) => {
    sockets[0]?.once('close', resolve);
  });
  sockets[0]?.write(CONTINUE);
  await closed;
  t.strictSame(unrequested, [address]);
});

// Guards against a count that takes encrypted or unread bytes for parsed ones.
tap.test('with TLS, long responses arrive whole and floods are closed', async (t) => {
  const authority = new TestAuthority();
  const { key, cert } = authority.issue({ name: 'n1', role: 'node' });
  const long = Buffer.alloc(8 * 1_048_576, 'y');
  const hints = 'HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n'.repeat(200);
  const flood = ({ socket }: Pick<ServerResponse, 'socket'>): void => {
    if (socket && !socket.destroyed) socket.write(hints, () => setImmediate(flood, { socket }));
  };
  const server = createTlsServer({ key, cert }, ({ url }, response) => {
    if (url === '/flood') flood(response);
    else if (url === '/continue') response.writeContinue();
    if (url === '/continue') response.end('done');
    else if (url !== '/flood') response.end(long);
  });
  const address = await startServer(t, server);
  const pools = new UpstreamPools({ tls: () => ({ key, cert, ca: authority.cert }) });
  t.teardown(() => pools.destroy());
  const pool = pools.get(address, 1);
  t.ok((await sendRequest(pool)).equals(long));
  t.equal(await readWithPauses(pool), long.length);
  t.equal((await sendRequest(pool, '/continue')).toString(), 'done');
  await t.rejects(sendRequest(pool, '/flood'), { code: 'OVERHEAD' });
});
