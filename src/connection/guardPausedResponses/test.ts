import { createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import tap from 'tap';

import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';
import type { Test } from 'tap';
import { listenOnLoopback } from '../../../test/requestMesh/index.js';
import { UpstreamPools } from '../UpstreamPools/index.js';

const SETTLE_MS = 100;
const PART_BYTES = 3_000;
const PART = 'x'.repeat(PART_BYTES);
const HEADS = {
  'without a length': 'HTTP/1.1 200 OK\r\n\r\n',
  'with a length, on a connection that closes':
    'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 6000\r\n\r\n',
  'in chunks, on a connection that closes':
    'HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n1770\r\n',
};

enum Outcome {
  Pending = 'PENDING',
  Complete = 'COMPLETE',
  Failed = 'FAILED',
}

/** Handler that pauses the response at each part of the body, as for a caller that does not read. */
class PausingHandler implements Dispatcher.DispatchHandler {
  outcome = Outcome.Pending;

  bodyBytes = 0;

  isPausing = true;

  resume: () => void = () => undefined;

  onConnect(): void {
    this.outcome = Outcome.Pending;
  }

  onHeaders(_status: number, _headers: Buffer[], resume: () => void): boolean {
    this.resume = resume;
    return true;
  }

  onData(chunk: Buffer): boolean {
    this.bodyBytes += chunk.length;
    return !this.isPausing;
  }

  onComplete(): void {
    this.outcome = Outcome.Complete;
  }

  onError(): void {
    this.outcome = Outcome.Failed;
  }
}

/** Starts a server that writes a response, and then another part, and closes its connection. */
const startServer = async (
  t: Test,
  { head, parts, close }: { head: string; parts: string[]; close: (socket: Socket) => void },
): Promise<Dispatcher> => {
  const answer = async (socket: Socket): Promise<void> => {
    socket.write(head);
    await parts.reduce<Promise<void>>(async (earlier, part) => {
      await earlier;
      socket.write(part);
      await sleep(SETTLE_MS);
    }, Promise.resolve());
    close(socket);
  };
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      answer(socket).catch(() => undefined);
    });
  });
  const pools = new UpstreamPools();
  t.teardown(async () => {
    await pools.destroy();
    server.close();
  });
  return pools.get(await listenOnLoopback(server), 1);
};

const send = (pool: Dispatcher): PausingHandler => {
  const handler = new PausingHandler();
  pool.dispatch({ path: '/', method: 'GET' }, handler);
  return handler;
};

const reset = (socket: Socket): unknown => socket.resetAndDestroy();

const end = (socket: Socket): unknown => socket.end();

Object.entries(HEADS).forEach(([title, head]) => {
  // Guards against an assertion of the HTTP client that ends the process (an incident).
  tap.test(`a response ${title}, reset while it is paused, fails`, async (t) => {
    const pool = await startServer(t, { head, parts: [PART], close: reset });
    const first = send(pool);
    await sleep(3 * SETTLE_MS);
    t.match(first, { outcome: Outcome.Failed, bodyBytes: PART_BYTES });
    const second = send(pool);
    await sleep(3 * SETTLE_MS);
    t.match(second, { outcome: Outcome.Failed, bodyBytes: PART_BYTES }, 'a new connection is used');
  });

  // Guards against the same where a part of the response is not parsed yet.
  tap.test(`a response ${title}, reset while a part of it waits, fails`, async (t) => {
    const pool = await startServer(t, { head, parts: [PART, PART], close: reset });
    const handler = send(pool);
    await sleep(4 * SETTLE_MS);
    t.match(handler, { outcome: Outcome.Failed, bodyBytes: PART_BYTES });
  });
});

// Guards against the same assertion at an orderly end, and against a response that completes too early.
tap.test('a response without a length that ends while it is paused completes later', async (t) => {
  const head = HEADS['without a length'];
  const pool = await startServer(t, { head, parts: [PART], close: end });
  const handler = send(pool);
  await sleep(3 * SETTLE_MS);
  t.match(handler, { outcome: Outcome.Pending, bodyBytes: PART_BYTES });
  handler.isPausing = false;
  handler.resume();
  await sleep(SETTLE_MS);
  t.match(handler, { outcome: Outcome.Complete, bodyBytes: PART_BYTES });
});

// Guards against bytes that are lost because their connection has ended before they are parsed.
tap.test('a paused response is whole after it is resumed', async (t) => {
  const head = HEADS['without a length'];
  const pool = await startServer(t, { head, parts: [PART, PART], close: end });
  const handler = send(pool);
  await sleep(4 * SETTLE_MS);
  t.match(handler, { outcome: Outcome.Pending, bodyBytes: PART_BYTES });
  handler.isPausing = false;
  handler.resume();
  await sleep(SETTLE_MS);
  t.match(handler, { outcome: Outcome.Complete, bodyBytes: 2 * PART_BYTES });
});

// Guards against an end that is reported while the last part pauses the response once more.
tap.test('a response that is paused again at its last part completes later', async (t) => {
  const head = HEADS['without a length'];
  const pool = await startServer(t, { head, parts: [PART, PART], close: end });
  const handler = send(pool);
  await sleep(4 * SETTLE_MS);
  handler.resume();
  await sleep(SETTLE_MS);
  t.match(handler, { outcome: Outcome.Pending, bodyBytes: 2 * PART_BYTES });
  handler.isPausing = false;
  handler.resume();
  await sleep(SETTLE_MS);
  t.match(handler, { outcome: Outcome.Complete, bodyBytes: 2 * PART_BYTES });
});

// Guards against a shorter response that looks whole.
tap.test('a response with a length that ends early while it is paused fails', async (t) => {
  const head = HEADS['with a length, on a connection that closes'];
  const pool = await startServer(t, { head, parts: [PART], close: end });
  const handler = send(pool);
  await sleep(3 * SETTLE_MS);
  t.equal(handler.outcome, Outcome.Pending);
  handler.isPausing = false;
  handler.resume();
  await sleep(SETTLE_MS);
  t.equal(handler.outcome, Outcome.Failed);
});

// Guards against a request that stays on a connection whose end is not noticed.
tap.test('a paused response whose connection has ended can be cancelled', async (t) => {
  const head = HEADS['without a length'];
  const pool = await startServer(t, { head, parts: [PART], close: end });
  const controller = new AbortController();
  const failed = pool
    .request({ path: '/', method: 'GET', signal: controller.signal })
    .then(({ body }) => body.resume().pause())
    .then(
      (body) =>
        new Promise((resolve) => {
          body.once('error', resolve);
        }),
    );
  await sleep(3 * SETTLE_MS);
  controller.abort();
  t.ok(await failed);
});
