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
  return { counts, caller };
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
