import { createServer } from 'node:http';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import tap from 'tap';

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Test } from 'tap';
import waitFor from '../../../stand-ins/waitFor/index.js';
import { InputHolder } from './index.js';

const createGet = (path: string): string => `GET /${path} HTTP/1.1\r\nHost: a\r\n\r\n`;

const createNumbers = (count: number): string[] =>
  Array.from({ length: count }, (_, index) => String(index));

/** Starts a server whose connections hold their input while `mayParse` is off, and connects to it. */
const setUp = async (
  t: Test,
  handle: (request: IncomingMessage, response: ServerResponse) => void,
) => {
  const state = { mayParse: true, received: [] as string[], isClosed: false };
  const holders: InputHolder[] = [];
  const sockets: Socket[] = [];
  let last: IncomingMessage | undefined;
  const server = createServer((request, response) => {
    state.received.push(request.url ?? '');
    last = request;
    handle(request, response);
  });
  server.on('connection', (socket: Socket) => {
    sockets.push(socket);
    socket.on('close', () => {
      state.isClosed = true;
    });
    const holder = new InputHolder(socket, {
      mayParse: () => state.mayParse,
      countBodyBytes: () =>
        last === undefined || last.complete ? 0 : Number(last.headers['content-length'] ?? 1_024),
      onParsed: () => undefined,
    });
    holders.push(holder);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  caller.on('error', () => undefined);
  t.teardown(() => {
    caller.destroy();
    server.closeAllConnections();
    server.close();
  });
  await waitFor('the connection', () => holders.length === 1);
  const [holder] = holders;
  const [socket] = sockets;
  if (!holder || !socket) throw new Error('there is no connection');
  return { state, caller, holder, socket };
};

// Guards against one read of 64 KiB whose hundreds of requests are all created at once: 7.6 KB each.
tap.test('no request is parsed beyond the one that ends the permission', async (t) => {
  const { state, caller, holder } = await setUp(t, () => {
    if (state.received.length === 3) state.mayParse = false;
  });
  caller.write(createNumbers(400).map(createGet).join(''));
  await sleep(100);
  t.equal(state.received.length, 3);
  t.ok(holder.isBehind);
  state.mayParse = true;
  state.received.push('none');
  holder.schedule();
  await waitFor('all requests', () => state.received.length === 401);
  t.notOk(holder.isBehind);
});

// Guards against deadlines that start anew for held bytes, and against bytes that count as old because
// others were held before them all the while.
tap.test('the time since bytes arrived is known, also if some are always held', async (t) => {
  const heldMs: Record<string, number> = {};
  const control: { holder?: InputHolder } = {};
  const { state, caller, holder } = await setUp(t, ({ url = '' }) => {
    heldMs[url] = control.holder?.computeHeldMs(performance.now()) ?? 0;
    state.mayParse = state.received.length > 2;
  });
  control.holder = holder;
  caller.write(createGet('1') + createGet('2'));
  await sleep(200);
  caller.write(createGet('3') + createGet('4'));
  await sleep(100);
  state.mayParse = true;
  holder.schedule();
  await waitFor('the next request', () => state.received.length === 2);
  state.mayParse = true;
  holder.schedule();
  await waitFor('all requests', () => state.received.length === 4);
  t.ok((heldMs['/1'] ?? 0) < 50, `${heldMs['/1']} ms`);
  t.ok((heldMs['/2'] ?? 0) >= 200, `${heldMs['/2']} ms`);
  t.ok((heldMs['/4'] ?? Infinity) < (heldMs['/2'] ?? 0), `${heldMs['/4']} ms`);
});

// Guards against a new deadline for requests that waited in the system.
tap.test('bytes that were not read count from when reading stopped', async (t) => {
  const heldMs: number[] = [];
  const control: { holder?: InputHolder } = {};
  const { state, caller, holder } = await setUp(t, () => {
    heldMs.push(control.holder?.computeHeldMs(performance.now()) ?? 0);
    if (state.received.length === 1) state.mayParse = false;
  });
  control.holder = holder;
  caller.write(createNumbers(4_000).map(createGet).join(''));
  await sleep(200);
  state.mayParse = true;
  holder.schedule();
  await waitFor('most requests', () => state.received.length > 3_000);
  const ages = heldMs.slice(1, 3_000);
  t.ok(Math.min(...ages.slice(0, 2_000)) >= 150, `${Math.min(...ages.slice(0, 2_000))} ms`);
});

// Guards against a departure that is noticed only when all that was sent ahead has been handled.
tap.test('a departure is noticed while bytes are held', async (t) => {
  const { state, caller } = await setUp(t, () => {
    state.mayParse = false;
  });
  caller.write(createNumbers(400).map(createGet).join(''));
  await waitFor('the first request', () => state.received.length === 1);
  caller.destroy();
  await waitFor('the end of the connection', () => state.isClosed);
  t.equal(state.received.length, 1);
});

// Guards against a connection of which bytes are held without end.
tap.test('a connection is not read beyond the bound', async (t) => {
  const { state, caller, socket } = await setUp(t, () => {
    state.mayParse = false;
  });
  const part = createNumbers(500).map(createGet).join('');
  const send = (): void => {
    if (!caller.destroyed) caller.write(part, () => setImmediate(send));
  };
  send();
  await sleep(300);
  t.equal(state.received.length, 1);
  t.ok(socket.bytesRead < 4 * 65_536, `${socket.bytesRead} bytes`);
});

// Guards against bodies that are damaged, or passed on in small parts, because their bytes are held.
tap.test('bodies arrive whole, in parts as large as they were read', async (t) => {
  const bodies: Buffer[] = [];
  const parts: number[] = [];
  const { caller } = await setUp(t, (request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      parts.push(chunk.length);
    });
    request.on('end', () => {
      bodies.push(Buffer.concat(chunks));
      response.end();
    });
  });
  const body = Buffer.alloc(1_000_000, 'one\r\n\r\ntwo');
  const head = `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n`;
  const chunked = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
  caller.write(Buffer.concat([Buffer.from(head), body]));
  caller.write(chunked);
  caller.write(Buffer.concat([Buffer.from(`${body.length.toString(16)}\r\n`), body]));
  caller.write('\r\n0\r\n\r\n');
  await waitFor('both bodies', () => bodies.length === 2);
  t.ok(bodies.every((received) => received.equals(body)));
  const [largest = 0] = parts.toSorted((left, right) => right - left);
  t.ok(largest > 16_384, `${largest} bytes at most`);
});

// Guards against a connection that stays unread after Node.js paused it for a body that is not taken.
tap.test('a body that is taken late is read on', async (t) => {
  let total = 0;
  const { state, caller } = await setUp(t, (request, response) => {
    setTimeout(() => {
      request.on('data', (chunk: Buffer) => {
        total += chunk.length;
      });
      request.on('end', () => response.end());
    }, 200);
  });
  const body = Buffer.alloc(500_000, 'x');
  const head = `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n`;
  caller.write(Buffer.concat([Buffer.from(head), body, Buffer.from(createGet('next'))]));
  await waitFor('the next request', () => state.received.length === 2);
  t.equal(total, body.length);
});
