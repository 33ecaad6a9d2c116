import { createServer } from 'node:http';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import tap from 'tap';

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Test } from 'tap';
import waitFor from '../../../stand-ins/waitFor/index.js';
import ResponsePipeline from './index.js';

/** As many as a connection may have handled at the same time. */
const MAX_RUNNING = 16;
/** As many as may be received unanswered. */
const MAX_PENDING = 32;
/** As many as all connections with many requests may have handled at the same time. */
const MAX_IN_TURN = 32;
const REQUEST_COUNT = 3_000;

type Handle = (request: IncomingMessage, response: ServerResponse) => void;

/** Starts a server that handles requests through pipelines, and connects to it. */
const setUp = async (t: Test, handle: Handle) => {
  const counts = { received: 0, running: 0, maxRunning: 0, discarded: 0 };
  const server = createServer((request, response) => {
    counts.received += 1;
    const pipeline = ResponsePipeline.of(request.socket);
    if (!pipeline.add(response, { isClosing: false })) {
      counts.discarded += 1;
      pipeline.discard(request);
      return;
    }
    pipeline.run(() => {
      counts.running += 1;
      counts.maxRunning = Math.max(counts.maxRunning, counts.running);
      response.prependOnceListener('close', () => {
        counts.running -= 1;
      });
      handle(request, response);
    });
  });
  server.on('connection', (socket) => ResponsePipeline.of(socket));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const caller = connect(port, '127.0.0.1');
  caller.on('error', () => undefined);
  t.teardown(() => {
    caller.destroy();
    server.closeAllConnections();
    server.close();
  });
  const openOther = (): Socket => {
    const other = connect(port, '127.0.0.1');
    other.on('error', () => undefined);
    t.teardown(() => other.destroy());
    return other;
  };
  return { counts, caller, openOther };
};

const collect = (caller: Socket): { text: string } => {
  const received = { text: '' };
  caller.on('data', (chunk: Buffer) => {
    received.text += chunk.toString();
  });
  return received;
};

const listBodies = (text: string): string[] =>
  [...text.matchAll(/<(\d+)>/g)].map(([, number = '']) => number);

const createNumbers = (count: number): string[] =>
  Array.from({ length: count }, (_, index) => String(index));

const createGet = (path: string): string => `GET /${path} HTTP/1.1\r\nHost: a\r\n\r\n`;

// Guards against one caller whose many requests ahead take the memory and processor time of all.
tap.test('few requests of a connection are handled at the same time, in order', async (t) => {
  const { counts, caller } = await setUp(t, ({ url = '' }, response) => {
    setImmediate(() => response.end(`<${url.slice(1)}>`));
  });
  const received = collect(caller);
  const numbers = createNumbers(REQUEST_COUNT);
  caller.write(numbers.map(createGet).join(''));
  await waitFor('all responses', () => listBodies(received.text).length === REQUEST_COUNT);
  t.strictSame(listBodies(received.text), numbers);
  t.ok(counts.maxRunning <= MAX_RUNNING, `${counts.maxRunning} at the same time`);
});

// Guards against a connection whose requests are read without end while none is answered.
tap.test('a connection is not read while many of its requests are unanswered', async (t) => {
  const { counts, caller } = await setUp(t, () => undefined);
  const part = createNumbers(500).map(createGet).join('');
  const send = (): void => {
    if (!caller.destroyed) caller.write(part, () => setImmediate(send));
  };
  send();
  await sleep(500);
  t.equal(counts.running, MAX_RUNNING);
  t.equal(counts.received, MAX_PENDING);
});

const BODIES: Record<string, string> = {
  length: `Content-Length: 200000\r\n\r\n${'x'.repeat(200_000)}`,
  chunks: `Transfer-Encoding: chunked\r\n\r\n${`10000\r\n${'x'.repeat(65_536)}\r\n`.repeat(8)}0\r\n\r\n`,
};

// Guards against one read of 64 KiB whose 2,000 requests are all created at once behind a body.
Object.entries(BODIES).forEach(([name, body]) => {
  tap.test(`no more requests are parsed behind a body: ${name}`, async (t) => {
    const { counts, caller } = await setUp(t, ({ method }, response) => {
      response.req.resume();
      if (method === 'PUT') response.end('<0>');
    });
    const received = collect(caller);
    const upload = `PUT /0 HTTP/1.1\r\nHost: a\r\n${body}`;
    caller.write(upload + upload + createNumbers(REQUEST_COUNT).map(createGet).join(''));
    await waitFor('the responses to both bodies', () => listBodies(received.text).length === 2);
    await sleep(300);
    t.equal(counts.received, 2 + MAX_PENDING);
  });
});

// Guards against callers with many requests ahead who together take the turns of those with one each.
tap.test('connections with many requests ahead share a bound; others do not wait', async (t) => {
  const AHEAD_CONNECTIONS = 20;
  const runningByPath: Record<string, number> = {};
  const { counts, caller, openOther } = await setUp(t, ({ url = '' }, response) => {
    runningByPath[url] = (runningByPath[url] ?? 0) + 1;
    if (url === '/one') response.end('<1>');
    else setTimeout(() => response.end(), 200);
  });
  caller.destroy();
  const numbers = createNumbers(AHEAD_CONNECTIONS);
  numbers.forEach((name) => {
    const requests = createNumbers(100).map(() => createGet(name));
    openOther().write(requests.join(''));
  });
  await waitFor('turns of all', () => Object.keys(runningByPath).length === AHEAD_CONNECTIONS);
  await sleep(500);
  t.ok(counts.maxRunning <= MAX_IN_TURN, `${counts.maxRunning} at the same time`);
  const handled = Object.values(runningByPath).toSorted((left, right) => left - right);
  t.ok((handled.at(-1) ?? 0) <= (handled[0] ?? 0) + MAX_RUNNING, String(handled));
  t.ok(counts.received < AHEAD_CONNECTIONS * MAX_PENDING, `${counts.received} received`);
  const single = openOther();
  const received = collect(single);
  single.write(createGet('one'));
  await waitFor('a single response', () => listBodies(received.text).length === 1);
  const runningAhead = counts.running;
  const few = openOther();
  few.write(
    createNumbers(8)
      .map(() => createGet('few'))
      .join(''),
  );
  await waitFor('a few requests', () => runningByPath['/few'] === 8);
  t.ok(runningAhead > MAX_IN_TURN / 2, `${runningAhead} beside them`);
});

// Guards against turns that are lost with connections that close.
tap.test('turns of departed callers are given to others', async (t) => {
  const { counts, openOther } = await setUp(t, () => undefined);
  const requests = createNumbers(100).map(createGet).join('');
  const open = (): Socket => {
    const socket = openOther();
    socket.write(requests);
    return socket;
  };
  const leaving = createNumbers(10).map(open);
  await waitFor('requests in all turns', () => counts.running === MAX_IN_TURN);
  open();
  await sleep(50);
  t.equal(counts.running, MAX_IN_TURN);
  leaving.forEach((socket) => socket.destroy());
  await waitFor('requests of the one that stays', () => counts.running === MAX_RUNNING);
  await sleep(50);
  t.equal(counts.running, MAX_RUNNING);
});

// Guards against further requests handled for a caller that does not read the responses written so far.
tap.test('no request ahead is started while responses wait in the socket', async (t) => {
  const body = Buffer.alloc(1_000_000, 'x');
  let handled = 0;
  const { caller } = await setUp(t, (_, response) => {
    handled += 1;
    response.end(body);
  });
  caller.pause();
  caller.write(createNumbers(200).map(createGet).join(''));
  await sleep(300);
  const handledUnread = handled;
  t.ok(handledUnread < 60, `${handledUnread} handled`);
  caller.resume();
  await waitFor('all requests', () => handled === 200);
});

// Guards against a paused connection that does not read the body of a request that it handles.
tap.test('requests with bodies behind one another are all answered', async (t) => {
  const { caller } = await setUp(t, (request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => response.end(`<${Buffer.concat(chunks).length}>`));
  });
  const received = collect(caller);
  const sizes = createNumbers(200).map((number) => String(50_000 + Number(number)));
  sizes.forEach((size) =>
    caller.write(
      `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${size}\r\n\r\n${'x'.repeat(Number(size))}`,
    ),
  );
  await waitFor('all responses', () => listBodies(received.text).length === sizes.length);
  t.strictSame(listBodies(received.text), sizes);
});

// Guards against requests that run although the caller sends them again, as their connection closes.
tap.test('requests that wait behind a closing response are not handled', async (t) => {
  const handled: string[] = [];
  const { caller } = await setUp(t, ({ url = '' }, response) => {
    handled.push(url);
    if (url === '/5') response.shouldKeepAlive = false;
    setTimeout(() => response.end(`<${url.slice(1)}>`), 20);
  });
  const received = collect(caller);
  caller.write(createNumbers(100).map(createGet).join(''));
  await new Promise((resolve) => {
    caller.once('close', resolve);
  });
  t.strictSame(listBodies(received.text), createNumbers(6));
  t.ok(handled.length < 6 + MAX_RUNNING, `${handled.length} handled`);
  await sleep(100);
  t.ok(handled.length < 6 + MAX_RUNNING, 'nor later');
});

// Guards against requests that reach servers after their caller has left.
tap.test('requests that wait when their caller leaves are not handled', async (t) => {
  const { counts, caller } = await setUp(t, (_, response) => {
    setTimeout(() => response.end(), 300);
  });
  caller.write(createNumbers(25).map(createGet).join(''));
  await waitFor('received requests', () => counts.received === 25);
  caller.destroy();
  await sleep(500);
  t.equal(counts.maxRunning, MAX_RUNNING);
  t.equal(counts.running, 0);
});
