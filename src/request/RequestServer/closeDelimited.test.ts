/** Responses without a length whose caller-facing connection ends before they do. */
import { createServer } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import tap from 'tap';

import type { Socket } from 'node:net';
import type { Test } from 'tap';
import { TestMesh, listenOnLoopback } from '../../../test/requestMesh/index.js';
import type { TestNode } from '../../../test/requestMesh/index.js';
import waitFor from '../../../stand-ins/waitFor/index.js';

/** More than a node holds of one response, so that it is streamed. */
const LONG_PART_BYTES = 2 * 1_048_576;
const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';
const REQUEST = 'POST /uploads HTTP/1.1\r\nhost: any\r\ncontent-length: 0\r\n\r\n';
const WAIT_MS = 200;

interface Received {
  text: string;
  /** Whether the connection ended in order. */
  isOrderly: boolean;
}

interface Caller {
  socket: Socket;
  received: Promise<Received>;
}

const openCaller = (address: string, request = REQUEST): Caller => {
  const socket = connect(Number(address.split(':')[1]), '127.0.0.1');
  socket.write(request);
  const received = new Promise<Received>((resolve) => {
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    socket.on('error', () => resolve({ text, isOrderly: false }));
    // After a reset that the runtime reports as an end, the connection has no peer any more; nor has one
    // that both sides have ended.
    socket.on('end', () => {
      resolve({ text, isOrderly: socket.writableEnded || socket.remoteAddress !== undefined });
    });
  });
  return { socket, received };
};

/** Starts a node beside a server without HTTP that answers each connection by a function. */
const startNode = async (t: Test, answer: (socket: Socket) => void): Promise<TestNode> => {
  const server = createTcpServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => answer(socket));
  });
  const address = await listenOnLoopback(server);
  const mesh = new TestMesh();
  t.teardown(async () => {
    await mesh.stop();
    server.close();
  });
  const node = await mesh.startNode('entry');
  mesh.announce(node, createServer(), address);
  return node;
};

const writeLongPart = (socket: Socket): void => {
  socket.write(HEAD);
  socket.write('x'.repeat(LONG_PART_BYTES));
};

const INTERRUPTIONS: Record<string, (caller: Caller, node: TestNode) => unknown> = {
  'the node stops': (_, node) => node.requestServer.stop(),
  'the node ends its drain': (_, node) => node.requestServer.drain(1),
  'the caller ends its side': ({ socket }) => socket.end(),
};

// Guards against a node that closes a connection in order within a response without a length, which
// makes a part of it look whole (MIXED).
Object.entries(INTERRUPTIONS).forEach(([name, interrupt]) =>
  tap.test(`a part of a response does not look whole when ${name}`, async (t) => {
    const node = await startNode(t, writeLongPart);
    const caller = openCaller(node.address);
    await waitFor('the whole part', () =>
      Promise.resolve(caller.socket.bytesRead > LONG_PART_BYTES),
    );
    await interrupt(caller, node);
    const { text, isOrderly } = await caller.received;
    t.match(text.slice(0, 15), /^HTTP\/1.1 200 OK/);
    t.equal(isOrderly, false);
  }),
);

const LOOKUP = 'GET / HTTP/1.1\r\nhost: any\r\n\r\n';

/** Starts one or two nodes, with servers without HTTP beside the last of them. */
const startMesh = async (
  t: Test,
  answers: ((socket: Socket) => void)[],
  { hops }: { hops: number },
): Promise<TestNode> => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry');
  const owner = hops === 1 ? entry : await mesh.startNode('owner');
  await Promise.all(
    answers.map(async (answer) => {
      const server = createTcpServer((socket) => {
        socket.on('error', () => undefined);
        socket.once('data', () => answer(socket));
      });
      t.teardown(() => server.close());
      mesh.announce(owner, createServer(), await listenOnLoopback(server));
    }),
  );
  return entry;
};

const readMetric = ({ metrics }: TestNode, name: string): number =>
  Number(new RegExp(`^${name} (\\d+)$`, 'm').exec(metrics.render())?.[1]);

// Guards against a held response whose failure reaches the caller although it could be repeated.
[1, 2].forEach((hops) =>
  tap.test(`a lookup is repeated when its held response is broken off, ${hops} hops`, async (t) => {
    let broken = 0;
    const answer = (socket: Socket): void => {
      broken += 1;
      socket.write(`${HEAD}part`);
      if (broken === 1) setTimeout(() => socket.resetAndDestroy(), 50);
      else socket.end('whole');
    };
    const entry = await startMesh(t, [answer, answer], { hops });
    const { text, isOrderly } = await openCaller(entry.address, LOOKUP).received;
    t.match(text, /^HTTP\/1.1 200 OK[^]*\r\n\r\npartwhole$/);
    t.notMatch(text, /content-length|transfer-encoding/i);
    t.equal(isOrderly, true);
    t.equal(broken, 2);
    t.equal(readMetric(entry, 'responses_held'), 2);
    t.equal(readMetric(entry, 'held_response_bytes'), 0);
  }),
);

// Guards against a request that is run and gets no answer, because it is behind one that ends with the
// connection (LOST).
tap.test('requests that arrive behind a held response are not handled', async (t) => {
  let runs = 0;
  let finish = (): unknown => undefined;
  const answer = (socket: Socket): void => {
    runs += 1;
    socket.write(HEAD);
    finish = () => socket.end('whole');
  };
  const entry = await startMesh(t, [answer], { hops: 2 });
  const { socket, received } = openCaller(entry.address, LOOKUP);
  await waitFor('a held response', () => Promise.resolve(readMetric(entry, 'responses_held') > 0));
  socket.write(LOOKUP);
  await sleep(WAIT_MS);
  finish();
  const { text } = await received;
  t.match(text, /connection: close[^]*whole$/i);
  t.equal(runs, 1);
});

// Guards against space that is never given back, so that no response can be held any more.
tap.test('a held response gives its space back when its caller leaves', async (t) => {
  const entry = await startMesh(t, [(socket) => socket.write(`${HEAD}part`)], { hops: 2 });
  const { socket } = openCaller(entry.address);
  await waitFor('a held part', () => Promise.resolve(readMetric(entry, 'held_response_bytes') > 0));
  socket.destroy();
  await waitFor('space given back', () =>
    Promise.resolve(readMetric(entry, 'held_response_bytes') === 0),
  );
  t.pass('the space is given back');
});

// Guards against a streamed part that looks whole to the caller, because the node closes in order after
// its server has reset the connection (MIXED).
[1, 2].forEach((hops) =>
  tap.test(`a response beyond the bound that is broken off is reset, ${hops} hops`, async (t) => {
    const sockets: Socket[] = [];
    const answer = (socket: Socket): void => {
      sockets.push(socket);
      writeLongPart(socket);
    };
    const entry = await startMesh(t, [answer], { hops });
    const { socket, received } = openCaller(entry.address);
    await waitFor('the whole part', () => Promise.resolve(socket.bytesRead > LONG_PART_BYTES));
    sockets.forEach((broken) => broken.resetAndDestroy());
    t.equal((await received).isOrderly, false);
  }),
);

// Guards against a response beyond the bound that is altered as it changes from held to streamed.
tap.test('a response beyond the bound is streamed unchanged', async (t) => {
  const part = 'abcdefghij'.repeat(100_000);
  const answer = (socket: Socket): void => {
    socket.write(HEAD);
    socket.write(part, () => socket.end(part));
  };
  const entry = await startMesh(t, [answer], { hops: 2 });
  const { text, isOrderly } = await openCaller(entry.address).received;
  t.equal(text.split('\r\n\r\n')[1], part + part);
  t.equal(isOrderly, true);
  t.equal(readMetric(entry, 'held_responses_beyond_bound'), 1);
  t.equal(readMetric(entry, 'held_response_bytes'), 0);
});

// Guards against a part that a node frames as a whole, because its transfer coding has no end of its own.
tap.test('a response with a coding other than chunked ends with its connection', async (t) => {
  await Promise.all(
    ['gzip', 'identity', 'chunked, gzip', 'chunked\r\nTransfer-Encoding: gzip'].map(
      async (coding) => {
        const answer = (socket: Socket): void => {
          socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\npart`);
          setTimeout(() => socket.end(), 50);
        };
        const entry = await startMesh(t, [answer], { hops: 2 });
        const { text } = await openCaller(entry.address).received;
        t.match(text, /connection: close[^]*\r\n\r\npart$/i, coding);
        t.notMatch(text, /transfer-encoding|content-length/i, coding);
      },
    ),
  );
});

// Guards against a part that looks whole to a caller with HTTP/1.0, which gets no chunks.
tap.test('a response in chunks that is broken off is not whole for HTTP/1.0', async (t) => {
  const request = REQUEST.replace('HTTP/1.1', 'HTTP/1.0');
  const start = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
  const long = 'x'.repeat(LONG_PART_BYTES);
  const chunks = { short: '4\r\npart\r\n', long: `200000\r\n${long}\r\n` };
  const fetchBody = async (chunk: string, end: string): Promise<Received> => {
    const answer = (socket: Socket): void => {
      socket.write(start + chunk);
      setTimeout(() => socket.end(end), WAIT_MS);
    };
    const entry = await startMesh(t, [answer], { hops: 2 });
    return openCaller(entry.address, request).received;
  };
  const short = await fetchBody(chunks.short, '');
  t.match(short.text, /^HTTP\/1.1 502/);
  t.notMatch(short.text, /part/);
  t.equal((await fetchBody(chunks.long, '')).isOrderly, false);
  const whole = await fetchBody(chunks.short, '0\r\n\r\n');
  t.match(whole.text, /^HTTP\/1.1 200 OK[^]*\r\n\r\npart$/);
  t.equal(whole.isOrderly, true);
  const wholeLong = await fetchBody(chunks.long, '0\r\n\r\n');
  t.equal(wholeLong.text.split('\r\n\r\n')[1], long);
});
