import { createHash, randomBytes } from 'node:crypto';
import { Agent, createServer, request as sendRequest } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';

import tap from 'tap';

import type { RequestListener } from 'node:http';
import type { Socket } from 'node:net';
import type { Test } from 'tap';
import { checkOrderlyEnd } from '../../connection/watchResets/index.js';
import createRandom from '../../../test/requestMesh/createRandom.js';
import { TestMesh, listenOnLoopback, send } from '../../../test/requestMesh/index.js';
import sendRaw from '../../../test/requestMesh/sendRaw.js';

const MEBIBYTE = 1_048_576;

/** Starts an entry node and an owner node with one server; `oneHop` makes one node both. */
const startMesh = async (
  t: Test,
  listener: RequestListener,
  options: { oneHop?: boolean } = {},
) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry');
  const owner = options.oneHop ? entry : await mesh.startNode('owner');
  const backend = await mesh.startBackend(owner, listener);
  return { mesh, entry, owner, backend };
};

const bothPaths = [{ oneHop: true }, { oneHop: false }];

const digest = (body: Buffer): string => createHash('sha256').update(body).digest('hex');

tap.test('a truncated response is never complete for the caller', async (t) => {
  const truncated: Record<string, RequestListener> = {
    'with a length': (_, response) => {
      response.writeHead(200, { 'content-length': 1_000 });
      response.write('part', () => response.destroy());
    },
    chunked: (_, response) => {
      response.write('part', () => response.destroy());
    },
  };
  await Promise.all(
    Object.entries(truncated).flatMap(([name, listener]) =>
      bothPaths.map(async (path) => {
        const { entry } = await startMesh(t, listener, path);
        const reply = await send(entry.address);
        const label = `${name}, one hop: ${path.oneHop}`;
        if (name === 'chunked') {
          t.equal(reply.isComplete, false, label);
          t.equal(reply.body, 'part', label);
          return;
        }
        // A short response is buffered until it is complete, so the caller gets an error instead.
        t.equal(reply.status, 502, label);
        t.equal(reply.headers['foxtailvane-outcome'], 'unknown', label);
        t.notMatch(reply.body, /^part/, label);
      }),
    ),
  );
});

tap.test('each caller receives its own response while other callers disconnect', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const { entry } = await startMesh(t, (request, response) => {
    setTimeout(() => response.end(request.url), Math.floor(random() * 10));
  });
  const agent = new Agent({ keepAlive: true, maxSockets: 16 });
  t.teardown(() => agent.destroy());
  let misrouted = 0;
  let complete = 0;
  const call = (index: number) =>
    new Promise<void>((resolve) => {
      const path = `/stock/${index}`;
      const request = sendRequest(`http://${entry.address}${path}`, { agent }, (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('end', () => {
          complete += 1;
          if (Buffer.concat(chunks).toString() !== path) misrouted += 1;
        });
        response.on('error', () => undefined);
      });
      request.on('error', () => undefined);
      request.on('close', resolve);
      request.end();
      if (random() < 0.3) setTimeout(() => request.destroy(), Math.floor(random() * 10));
    });
  await Promise.all(Array.from({ length: 400 }, (_, index) => call(index)));
  t.equal(misrouted, 0);
  t.ok(complete > 100, `${complete} complete`);
});

tap.test('HEAD keeps its headers, has no body, and leaves the connection usable', async (t) => {
  await Promise.all(
    bothPaths.map(async (path) => {
      const { entry } = await startMesh(
        t,
        (request, response) => {
          response.setHeader('content-length', 5);
          response.end(request.method === 'HEAD' ? undefined : 'stock');
        },
        path,
      );
      const head = await send(entry.address, { method: 'HEAD' });
      t.equal(head.headers['content-length'], '5');
      t.equal(head.body, '');
      t.equal((await send(entry.address)).body, 'stock');
    }),
  );
});

tap.test('early hints and trailers are forwarded over both hops', async (t) => {
  const { entry } = await startMesh(t, (_, response) => {
    response.writeEarlyHints({ link: '</style.css>; rel=preload' });
    response.writeHead(200, { trailer: 'x-checksum' });
    response.write('body');
    response.addTrailers({ 'x-checksum': 'abc' });
    response.end();
  });
  const hints: unknown[] = [];
  const trailers = await new Promise((resolve, reject) => {
    const request = sendRequest(`http://${entry.address}/`, { agent: false }, (response) => {
      response.resume();
      response.on('end', () => resolve(response.trailers));
    });
    request.on('information', (information) => hints.push(information.statusCode));
    request.on('error', reject);
    request.end();
  });
  t.strictSame(hints, [103]);
  t.strictSame(trailers, { 'x-checksum': 'abc' });
});

tap.test('100 Continue is sent once to a caller, whose body is then forwarded', async (t) => {
  const { entry } = await startMesh(t, (request, response) => {
    t.equal(request.headers.expect, undefined);
    request.pipe(response);
  });
  let continueCount = 0;
  const body = await new Promise<string>((resolve, reject) => {
    const headers = { expect: '100-continue', 'content-length': 5 };
    const request = sendRequest(
      `http://${entry.address}/orders`,
      { agent: false, method: 'POST', headers },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('end', () => resolve(Buffer.concat(chunks).toString()));
      },
    );
    request.on('continue', () => {
      continueCount += 1;
      request.end('order');
    });
    request.on('error', reject);
    request.flushHeaders();
  });
  t.equal(body, 'order');
  t.equal(continueCount, 1);
});

tap.test('large bodies are forwarded unchanged in both directions', async (t) => {
  await Promise.all(
    bothPaths.flatMap((path) =>
      [{ chunked: true }, { chunked: false }].map(async ({ chunked }) => {
        const { entry } = await startMesh(t, (request, response) => request.pipe(response), path);
        const body = randomBytes(8 * MEBIBYTE);
        const echoed = await new Promise<Buffer>((resolve, reject) => {
          const headers = chunked ? {} : { 'content-length': body.length };
          const request = sendRequest(
            `http://${entry.address}/orders`,
            { agent: false, method: 'POST', headers },
            (response) => {
              const chunks: Buffer[] = [];
              response.on('data', (chunk: Buffer) => chunks.push(chunk));
              response.on('end', () => resolve(Buffer.concat(chunks)));
              response.on('error', reject);
            },
          );
          request.on('error', reject);
          request.write(body.subarray(0, MEBIBYTE));
          request.end(body.subarray(MEBIBYTE));
        });
        t.equal(digest(echoed), digest(body));
      }),
    ),
  );
});

tap.test('a caller that does not read applies backpressure to the server', async (t) => {
  const totalBytes = 256 * MEBIBYTE;
  const part = Buffer.alloc(MEBIBYTE);
  let sentBytes = 0;
  const { entry } = await startMesh(t, (_, response) => {
    const fill = (): void => {
      while (sentBytes < totalBytes && !response.destroyed) {
        sentBytes += part.length;
        if (!response.write(part)) {
          response.once('drain', fill);
          return;
        }
      }
      response.end();
    };
    fill();
  });
  await new Promise<void>((resolve) => {
    const request = sendRequest(`http://${entry.address}/`, { agent: false }, (response) => {
      response.pause();
      let before = -1;
      const timer = setInterval(() => {
        if (sentBytes === before) {
          clearInterval(timer);
          request.destroy();
          resolve();
        }
        before = sentBytes;
      }, 500);
    });
    request.on('error', () => undefined);
    request.end();
  });
  t.ok(sentBytes < totalBytes / 4, `${sentBytes} bytes sent`);
});

tap.test('ambiguous or oversized requests are rejected and reach no server', async (t) => {
  let seen = 0;
  const { entry } = await startMesh(t, (_, response) => {
    seen += 1;
    response.end();
  });
  const start = 'POST /orders HTTP/1.1\r\nHost: desk\r\n';
  const smuggled = 'GET /smuggled HTTP/1.1\r\nHost: desk\r\n\r\n';
  const attempts: [string, string, RegExp][] = [
    [
      'both lengths',
      `${start}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n${smuggled}`,
      /^HTTP\/1.1 400/,
    ],
    [
      'conflicting lengths',
      `${start}Content-Length: 0\r\nContent-Length: 44\r\n\r\n${smuggled}`,
      /^HTTP\/1.1 400/,
    ],
    ['list of lengths', `${start}Content-Length: 0, 44\r\n\r\n${smuggled}`, /^HTTP\/1.1 400/],
    ['signed length', `${start}Content-Length: +0\r\n\r\n${smuggled}`, /^HTTP\/1.1 400/],
    [
      'unknown coding',
      `${start}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n${smuggled}`,
      /^HTTP\/1.1 400/,
    ],
    [
      'chunked not last',
      `${start}Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n${smuggled}`,
      /^HTTP\/1.1 400/,
    ],
    ['space before colon', `${start}Content-Length : 0\r\n\r\n${smuggled}`, /^HTTP\/1.1 400/],
    [
      'bad chunk size',
      `${start}Transfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n`,
      /^HTTP\/1.1 400/,
    ],
    [
      'two hosts',
      'GET / HTTP/1.1\r\nHost: desk\r\nHost: ledger\r\nConnection: close\r\n\r\n',
      /^HTTP\/1.1 400/,
    ],
    ['no host', 'GET / HTTP/1.1\r\nConnection: close\r\n\r\n', /^HTTP\/1.1 400/],
    ['oversize headers', `${start}X-Big: ${'x'.repeat(40_000)}\r\n\r\n`, /^HTTP\/1.1 431/],
  ];
  await Promise.all(
    attempts.map(async ([name, bytes, expected]) => {
      t.match(await sendRaw(entry.address, bytes), expected, name);
    }),
  );
  t.equal(seen, 0);
});

tap.test('hop-by-hop headers and internal headers are not forwarded', async (t) => {
  const received: NodeJS.Dict<string | string[]>[] = [];
  await Promise.all(
    bothPaths.map(async (path) => {
      const { entry } = await startMesh(
        t,
        (request, response) => {
          received.push(request.headers);
          response.setHeader('foxtailvane-outcome', 'not-run');
          response.setHeader('connection', 'x-local');
          response.setHeader('x-local', '1');
          response.end('ran');
        },
        path,
      );
      const reply = await send(entry.address, {
        headers: {
          connection: 'x-hop, content-length',
          'x-hop': '1',
          'x-kept': '2',
          'proxy-authorization': 'secret',
          'foxtailvane-call': 'forged',
          'foxtailvane-outcome': 'not-run',
        },
      });
      t.equal(reply.status, 200);
      t.equal(reply.headers['foxtailvane-outcome'], undefined);
      t.equal(reply.headers['x-local'], undefined);
    }),
  );
  t.equal(received.length, 2);
  received.forEach((headers) => {
    t.equal(headers['x-kept'], '2');
    t.equal(headers['x-hop'], undefined);
    t.equal(headers['proxy-authorization'], undefined);
    t.equal(headers['foxtailvane-call'], undefined);
    t.equal(headers['foxtailvane-outcome'], undefined);
  });
});

/** How the connection of a caller ended, after the bytes that it received. */
type CallerEnd = 'END' | 'RESET';

/** Starts a server without HTTP that writes a response without a length, and nodes in front of it. */
const startCloseDelimited = async (
  t: Test,
  finish: (socket: Socket) => void,
  path: { oneHop: boolean },
): Promise<string> => {
  const server = createTcpServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart');
      finish(socket);
    });
  });
  const address = await listenOnLoopback(server);
  t.teardown(() => server.close());
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry');
  const owner = path.oneHop ? entry : await mesh.startNode('owner');
  mesh.announce(owner, createServer(), address);
  return entry.address;
};

/** Sends a request that isn't repeated, and returns what its caller received. */
const callOnce = (address: string): Promise<{ text: string; end: CallerEnd }> =>
  new Promise((resolve) => {
    let text = '';
    const caller = connect(Number(address.split(':')[1]), '127.0.0.1');
    caller.on('data', (chunk) => {
      text += chunk.toString();
    });
    caller.on('error', () => resolve({ text, end: 'RESET' }));
    // After a reset that the runtime reports as an end, the connection has no peer any more.
    caller.on('end', () => resolve({ text, end: caller.remoteAddress ? 'END' : 'RESET' }));
    caller.write('POST /uploads HTTP/1.1\r\nhost: any\r\ncontent-length: 0\r\n\r\n');
  });

// Guards against a truncated response that looks complete: undici takes a reset for the end of a
// close-delimited response, and a node that forwards it with another framing marks it as complete.
tap.test('a close-delimited response ends by closing the connection of the caller', async (t) => {
  await Promise.all(
    bothPaths.map(async (path) => {
      const label = `one hop: ${path.oneHop}`;
      const reset = (socket: Socket) => setTimeout(() => socket.resetAndDestroy(), 50);
      const broken = await callOnce(await startCloseDelimited(t, reset, path));
      // A short response is held until its end, so the caller gets an error instead of a part.
      t.match(broken.text, /^HTTP\/1.1 502/, `reset, ${label}`);
      t.notMatch(broken.text, /part$/, `reset, ${label}`);
      const close = (socket: Socket) => setTimeout(() => socket.end(), 50);
      const closed = await callOnce(await startCloseDelimited(t, close, path));
      t.match(closed, { text: /\r\n\r\npart$/, end: 'END' }, `closed, ${label}`);
      t.match(closed.text, /connection: close/i, label);
      t.notMatch(closed.text, /transfer-encoding|content-length/i, label);
    }),
  );
});

// Guards against a part of a response that is passed on as the whole, because its reset arrived together
// with the last bytes.
tap.test('a reset together with the last bytes of a response is no end of it', async (t) => {
  await Promise.all(
    bothPaths.map(async (path) => {
      const reset = (socket: Socket) => socket.resetAndDestroy();
      const address = await startCloseDelimited(t, reset, path);
      await checkOrderlyEnd();
      const replies = await Promise.all(Array.from({ length: 50 }, () => callOnce(address)));
      const whole = replies.filter(({ text, end }) => text.endsWith('part') && end === 'END');
      t.equal(whole.length, 0, `one hop: ${path.oneHop}`);
      t.ok(replies.every(({ text }) => text.startsWith('HTTP/1.1 502')));
    }),
  );
});

// Guards against a connection that is never read again after an answer to an incomplete request.
tap.test('a connection whose long request was answered early serves the next one', async (t) => {
  const { entry } = await startMesh(t, (request, response) => {
    if (request.url === '/next') response.end('next');
    // The server reads on once it has answered.
    else response.end('early', () => request.resume());
  });
  const body = 'x'.repeat(2 * MEBIBYTE);
  const bytes = [
    `POST /uploads HTTP/1.1\r\nhost: desk\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    'GET /next HTTP/1.1\r\nhost: desk\r\nconnection: close\r\n\r\n',
  ];
  const received = await sendRaw(entry.address, bytes.join(''));
  t.match(received, /early/);
  t.match(received, /next/);
});
