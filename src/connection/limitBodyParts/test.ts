import { createServer } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { connect as connectTls } from 'node:tls';

import tap from 'tap';

import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Test } from 'tap';
import { TestAuthority } from '../../../stand-ins/certificates/index.js';
import waitFor from '../../../stand-ins/waitFor/index.js';
import createRandom from '../../../test/requestMesh/createRandom.js';
import ResponsePipeline from '../ResponsePipeline/index.js';

const HOST = '127.0.163.1';
const HEAD = 'POST / HTTP/1.1\r\nhost: any\r\ntransfer-encoding: chunked\r\n\r\n';
const LOOKUP = 'GET / HTTP/1.1\r\nhost: any\r\n\r\n';
const LAST_LOOKUP = 'GET / HTTP/1.1\r\nhost: any\r\nconnection: close\r\n\r\n';
const SHORT_CHUNKS = '1\r\nx\r\n'.repeat(10_000);

const startServer = async (
  t: Test,
  handle: RequestListener,
  tls?: ReturnType<TestAuthority['issue']>,
): Promise<(text?: string) => Socket> => {
  const listener = (request: IncomingMessage, response: ServerResponse): void => {
    const pipeline = ResponsePipeline.of(request.socket);
    if (pipeline.add(response, { isClosing: false })) pipeline.run(() => handle(request, response));
    else pipeline.discard(request);
  };
  const server: Server = tls ? createTlsServer(tls, listener) : createServer(listener);
  server.on(tls ? 'secureConnection' : 'connection', ResponsePipeline.of);
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return (text = '') => {
    const socket = tls
      ? connectTls({ port, host: HOST, rejectUnauthorized: false })
      : connect(port, HOST);
    socket.on('error', () => undefined);
    socket.write(text);
    return socket;
  };
};

const readBody = async (request: IncomingMessage): Promise<{ text: string; parts: number }> => {
  const parts = (await request.toArray()) as Buffer[];
  return { text: Buffer.concat(parts).toString(), parts: parts.length };
};

/** Answers with the body of the request. */
const echo: RequestListener = (request, response) => {
  readBody(request).then(
    ({ text }) => response.end(text),
    () => undefined,
  );
};

const readAnswers = async (socket: Socket): Promise<string> =>
  Buffer.concat((await socket.toArray()) as Buffer[]).toString();

/** Splits a text at random places, mostly into very short parts in places. */
const splitAtRandom = (text: string, random: () => number): string[] => {
  const parts: string[] = [];
  for (let start = 0; start < text.length;) {
    const maxLength = [1, 3, 200, 9_000][Math.floor(random() * 4)] ?? 1;
    const count = maxLength < 10 ? Math.floor(random() * 500) : 1;
    for (let index = 0; index < count && start < text.length; index += 1) {
      const part = text.slice(start, start + 1 + Math.floor(random() * maxLength));
      parts.push(part);
      start += part.length;
    }
  }
  return parts;
};

const BODY_LENGTH = 60_000;

const checkBodies = async (
  t: Test,
  open: (text?: string) => Socket,
  random: () => number,
): Promise<void> => {
  const answers = await Promise.all(
    Array.from({ length: 12 }, async () => {
      const text = Array.from({ length: BODY_LENGTH }, () =>
        Math.floor(random() * 36).toString(36),
      ).join('');
      const chunks = splitAtRandom(text, random).map(
        (chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`,
      );
      const bytes = `${LOOKUP}${HEAD}${chunks.join('')}0\r\n\r\n${LOOKUP}${HEAD}1\r\ny\r\n0\r\n\r\n${LAST_LOOKUP}`;
      const socket = open();
      const answered = readAnswers(socket);
      await splitAtRandom(bytes, random).reduce(async (earlier, part, index) => {
        await earlier;
        socket.write(part);
        if (index % 400 === 0) await sleep(1);
      }, Promise.resolve());
      const answer = await answered;
      const heads = answer.match(/HTTP\/1.1 200 OK/g)?.length;
      return { isWhole: answer.includes(`\r\n\r\n${text}HTTP/1.1`), heads };
    }),
  );
  t.ok(
    answers.every(({ isWhole }) => isWhole),
    'each body is received as it was sent',
  );
  t.ok(
    answers.every(({ heads }) => heads === 5),
    'each request of a connection is answered',
  );
};

// Guards against bytes that are lost, repeated or out of order where pieces begin and end.
tap.test('bodies in chunks of any length arrive as they were sent', async (t) => {
  const random = createRandom((line) => t.comment(line));
  await checkBodies(t, await startServer(t, echo), random);
});

// Guards against the same with TLS between nodes.
tap.test('bodies in chunks of any length arrive over TLS as they were sent', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const tls = new TestAuthority().issue({ name: 'node' });
  await checkBodies(t, await startServer(t, echo, tls), random);
});

// Guards against a write to the next hop for each byte.
tap.test('short chunks are joined', async (t) => {
  const received = new Promise<{ text: string; parts: number }>((resolve) => {
    startServer(t, (request) => {
      readBody(request).then(resolve, () => undefined);
    }).then(
      (open) => open(`${HEAD}${SHORT_CHUNKS}0\r\n\r\n`),
      () => undefined,
    );
  });
  const { text, parts } = await received;
  t.equal(text.length, 10_000);
  t.ok(parts < 400, `${parts} parts`);
});

// Guards against a slow upload whose bytes wait for further ones.
tap.test('single bytes are passed on at once', async (t) => {
  let received = '';
  const open = await startServer(t, (request) => {
    request.on('data', (part: Buffer) => {
      received += part.toString();
    });
  });
  const socket = open(HEAD);
  const letters = [...'slow upload'];
  await letters.reduce(async (earlier, letter, index) => {
    await earlier;
    socket.write(`1\r\n${letter}\r\n`);
    const deadlineMs = performance.now() + 1_000;
    while (received.length <= index && performance.now() < deadlineMs) await sleep(1);
    t.equal(received.length, index + 1);
  }, Promise.resolve());
  t.equal(received, letters.join(''));
});

// Guards against a node that reads on while the next hop does not.
tap.test('a body that is not read holds its caller back', async (t) => {
  const open = await startServer(t, () => undefined);
  const socket = open(HEAD);
  let sentBytes = 0;
  const write = (): void => {
    if (!socket.destroyed && sentBytes < 64 * 1_048_576)
      socket.write(SHORT_CHUNKS, () => {
        sentBytes += SHORT_CHUNKS.length;
        write();
      });
  };
  write();
  await sleep(1_000);
  const afterMs = sentBytes;
  await sleep(1_000);
  t.equal(sentBytes, afterMs);
  socket.destroy();
});

// Guards against a kept connection that is read no more behind a body that filled its buffer at its end.
tap.test('a request behind a body that is taken late is answered', async (t) => {
  const open = await startServer(t, (request, response) => {
    setTimeout(() => echo(request, response), 50);
  });
  const sizes = Array.from({ length: 30 }, (_, index) => 2_048 * (index + 1));
  const answers = await Promise.all(
    sizes.map(async (size) => {
      const chunk = `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n0\r\n\r\n`;
      const socket = open(HEAD + chunk);
      const answered = new Promise((resolve) => {
        socket.once('readable', resolve);
      });
      setTimeout(() => socket.destroy(), 2_000);
      await answered;
      await sleep(100);
      socket.write(LAST_LOOKUP);
      return readAnswers(socket).catch(() => 'no answer to the lookup');
    }),
  );
  const lost = sizes.filter((_, index) => answers[index]?.match(/HTTP\/1\.1 200/g)?.length !== 2);
  t.strictSame(lost, []);
});

// Guards against a node that takes the rest of a body for complete, or ends by itself, when its caller
// leaves in the middle of a piece.
tap.test('a caller that leaves aborts its request', async (t) => {
  const aborted: Promise<boolean>[] = [];
  const open = await startServer(t, (request) => {
    request.resume();
    aborted.push(
      new Promise((resolve) => {
        request.once('error', () => resolve(true));
        request.once('end', () => resolve(false));
      }),
    );
  });
  const sockets = Array.from({ length: 8 }, () => open(`${HEAD}${SHORT_CHUNKS.repeat(4)}`));
  await waitFor('all requests', () => aborted.length === sockets.length);
  sockets.forEach((socket, index) => (index % 2 === 0 ? socket.destroy() : socket.end()));
  const results = await Promise.all(aborted);
  t.equal(results.length, sockets.length);
  t.ok(results.every(Boolean));
});
