import { createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import tap from 'tap';

import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';
import type { Test } from 'tap';
import waitFor from '../../../stand-ins/waitFor/index.js';
import { listenOnLoopback } from '../../../test/requestMesh/index.js';
import { UpstreamPools } from '../UpstreamPools/index.js';

/** Time for bytes or an end to arrive. */
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

/** Starts a server that answers with a head and a part, and leaves the rest to the test. */
const startServer = async (t: Test, head: string) => {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => socket.write(head + PART));
  });
  const pools = new UpstreamPools();
  t.teardown(async () => {
    await pools.destroy();
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  const pool = pools.get(await listenOnLoopback(server), 1);
  /** Sends a request and waits until the first part has paused its response. */
  const send = async (): Promise<{ handler: PausingHandler; socket: Socket }> => {
    const handler = new PausingHandler();
    pool.dispatch({ path: '/', method: 'GET' }, handler);
    await waitFor('first part', async () => handler.bodyBytes === PART_BYTES);
    return { handler, socket: sockets.at(-1) as Socket };
  };
  return { pool, sockets, send };
};

const waitForOutcome = (handler: PausingHandler, outcome: Outcome): Promise<boolean> =>
  waitFor(`outcome ${outcome}`, async () => handler.outcome === outcome);

/** Sends a second part, which stays unread, and the end. */
const endAfterPart = async (socket: Socket): Promise<void> => {
  socket.end(PART);
  await sleep(SETTLE_MS);
};

Object.entries(HEADS).forEach(([title, head]) => {
  // Guards against an assertion of the HTTP client that ends the process (an incident).
  tap.test(`a response ${title}, reset while it is paused, fails`, async (t) => {
    const { send } = await startServer(t, head);
    const first = await send();
    first.socket.resetAndDestroy();
    await waitForOutcome(first.handler, Outcome.Failed);
    const second = await send();
    t.not(second.socket, first.socket, 'a new connection is used');
    second.socket.resetAndDestroy();
    await waitForOutcome(second.handler, Outcome.Failed);
    t.equal(first.handler.bodyBytes, PART_BYTES);
  });

  // Guards against the same where a part of the response is not parsed yet.
  tap.test(`a response ${title}, reset while a part of it waits, fails`, async (t) => {
    const { send } = await startServer(t, head);
    const { handler, socket } = await send();
    socket.write(PART);
    await sleep(SETTLE_MS);
    t.equal(handler.outcome, Outcome.Pending);
    socket.resetAndDestroy();
    await waitForOutcome(handler, Outcome.Failed);
    t.equal(handler.bodyBytes, PART_BYTES);
  });
});

// Guards against the same assertion at an orderly end, and against a response that completes too early.
tap.test('a response without a length that ends while it is paused completes later', async (t) => {
  const { send } = await startServer(t, HEADS['without a length']);
  const { handler, socket } = await send();
  socket.end();
  await sleep(SETTLE_MS);
  t.equal(handler.outcome, Outcome.Pending);
  handler.isPausing = false;
  handler.resume();
  await waitForOutcome(handler, Outcome.Complete);
  t.equal(handler.bodyBytes, PART_BYTES);
});

// Guards against bytes that are lost because their connection has ended before they are parsed.
tap.test('a paused response is whole after it is resumed', async (t) => {
  const { send } = await startServer(t, HEADS['without a length']);
  const { handler, socket } = await send();
  await endAfterPart(socket);
  t.match(handler, { outcome: Outcome.Pending, bodyBytes: PART_BYTES });
  handler.isPausing = false;
  handler.resume();
  await waitForOutcome(handler, Outcome.Complete);
  t.equal(handler.bodyBytes, 2 * PART_BYTES);
});

// Guards against an end that is reported while the last part pauses the response once more.
tap.test('a response that is paused again at its last part completes later', async (t) => {
  const { send } = await startServer(t, HEADS['without a length']);
  const { handler, socket } = await send();
  await endAfterPart(socket);
  handler.resume();
  await waitFor('second part', async () => handler.bodyBytes === 2 * PART_BYTES);
  await sleep(SETTLE_MS);
  t.equal(handler.outcome, Outcome.Pending);
  handler.isPausing = false;
  handler.resume();
  await waitForOutcome(handler, Outcome.Complete);
  t.equal(handler.bodyBytes, 2 * PART_BYTES);
});

// Guards against a shorter response that looks whole.
tap.test('a response with a length that ends early while it is paused fails', async (t) => {
  const { send } = await startServer(t, HEADS['with a length, on a connection that closes']);
  const { handler, socket } = await send();
  socket.end();
  await sleep(SETTLE_MS);
  t.equal(handler.outcome, Outcome.Pending);
  handler.isPausing = false;
  handler.resume();
  await waitForOutcome(handler, Outcome.Failed);
  t.equal(handler.bodyBytes, PART_BYTES);
});

// Guards against a request that stays on a connection whose end is not noticed.
tap.test('a paused response whose connection has ended can be cancelled', async (t) => {
  const { pool, sockets } = await startServer(t, HEADS['without a length']);
  const controller = new AbortController();
  const { body } = await pool.request({ path: '/', method: 'GET', signal: controller.signal });
  const failed = new Promise((resolve) => {
    body.pause().once('error', resolve);
  });
  sockets.at(-1)?.end();
  await sleep(SETTLE_MS);
  controller.abort();
  t.ok(await failed);
});
