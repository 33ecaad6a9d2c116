/** Callers that read long answers slowly, or not at all. */
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import type { RequestListener } from 'node:http';
import type { Socket } from 'node:net';
import type { Test } from 'tap';
import { ServiceSchema } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import { TestMesh, compileForTest, createRoute, send } from '../../../test/requestMesh/index.js';
import type { TestNode } from '../../../test/requestMesh/index.js';

const TIMEOUT_MS = 120_000;
/** More than the kernel keeps for a connection. */
const ANSWER_BYTES = 24 * 1_048_576;
const PART = Buffer.alloc(65_536, 'x');
const READ_BYTES = 1_024;
const READ_INTERVAL_MS = 100;
/** Longer than any pause after which a caller was ever cut off. */
const SLOW_MS = 21_000;
/** Room for the queues of two callers that do not read. */
const SMALL_MEMORY_MB = 60;
const UNREAD_CALLERS = 10;
/** Streamed, and more than Node.js takes of an answer that waits for others. */
const SHORT_PARTS = Array.from({ length: 5 }, () => Buffer.alloc(8_192, 'x'));
const LAST_CHUNK = '0\r\n\r\n';
const PATHS = ['/chunks', '/length'];

/** Longer than the pause after which an answer may be ended, and the time until room is short. */
const LATE_MS = 2_000;

/** Sends a long answer, with its length or in chunks by the path of the request. */
const answer: RequestListener = (request, response) => {
  if (request.url === '/late') {
    setTimeout(() => response.end('late'), LATE_MS);
    return;
  }
  if (request.url === '/short') {
    SHORT_PARTS.forEach((part) => response.write(part));
    response.end();
    return;
  }
  if (request.url === '/length') response.setHeader('content-length', ANSWER_BYTES);
  let leftBytes = ANSWER_BYTES;
  const write = (): void => {
    while (leftBytes > 0) {
      leftBytes -= PART.length;
      if (!response.write(PART)) {
        response.once('drain', write);
        return;
      }
    }
    response.end();
  };
  write();
};

interface Caller {
  socket: Socket;
  /** Bytes received so far. */
  countBytes: () => number;
  /** Whether the last bytes received are those that end an answer in chunks. */
  hasLastChunk: () => boolean;
  /** Error of the connection, if there was one. */
  findError: () => Error | undefined;
  /** Reads at most `READ_BYTES`. */
  readOnce: () => void;
  /** Reads without pauses until the connection is closed. */
  readAll: () => Promise<void>;
}

const call = (t: Test, { address }: TestNode, path: string): Caller => {
  let receivedBytes = 0;
  let isSlow = true;
  let tail = '';
  let failure: Error | undefined;
  const [host = '', port] = address.split(':');
  const socket = connect({
    ...{ host, port: Number(port) },
    onread: {
      buffer: Buffer.alloc(READ_BYTES),
      callback: (sizeBytes, part) => {
        receivedBytes += sizeBytes;
        tail = (tail + String.fromCharCode(...part.slice(0, sizeBytes))).slice(-LAST_CHUNK.length);
        return !isSlow;
      },
    },
  });
  t.teardown(() => socket.destroy());
  socket.pause();
  socket.on('error', (error) => {
    failure = error;
  });
  const closed = new Promise<void>((resolve) => {
    socket.once('close', () => resolve());
  });
  socket.write(`GET ${path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n`);
  return {
    socket,
    countBytes: () => receivedBytes,
    hasLastChunk: () => tail === LAST_CHUNK,
    findError: () => failure,
    readOnce: () => socket.resume(),
    readAll: async () => {
      isSlow = false;
      socket.resume();
      await closed;
    },
  };
};

const startMesh = async (t: Test, memoryMb?: number): Promise<[TestNode, TestNode]> => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  mesh.configuration = compileForTest(
    [createRoute({ timeoutMs: TIMEOUT_MS })],
    [create(ServiceSchema, { name: 'desk', timeoutMs: TIMEOUT_MS })],
  );
  const entry = await mesh.startNode('entry', { memoryMb });
  const owner = await mesh.startNode('owner', { memoryMb });
  await mesh.startBackend(owner, answer, { slots: 100 });
  return [entry, owner];
};

// Guards against callers that are cut off because they read slowly, as a limit on the time of a pause did.
tap.test('slow callers get long answers whole while there is room', async (t) => {
  const [entry] = await startMesh(t);
  const callers = PATHS.map((path) => call(t, entry, path));
  const endAtMs = performance.now() + SLOW_MS;
  while (performance.now() < endAtMs) {
    callers.forEach(({ readOnce }) => readOnce());
    await sleep(READ_INTERVAL_MS);
  }
  const slowBytes = callers.map(({ countBytes }) => countBytes());
  t.ok(Math.max(...slowBytes) < ANSWER_BYTES / 10, `read slowly: ${slowBytes.join()}`);
  await Promise.all(callers.map(({ readAll }) => readAll()));
  callers.forEach(({ countBytes, findError }, index) => {
    t.equal(findError(), undefined, `${PATHS[index]}: error`);
    t.ok(countBytes() > ANSWER_BYTES, `${PATHS[index]}: ${countBytes()} bytes`);
  });
});

// Guards against a node that serves no long answers any more, or ends them as if they were whole, once
// callers that do not read take all room.
tap.test('callers that do not read make room for others', async (t) => {
  const [entry, owner] = await startMesh(t, SMALL_MEMORY_MB);
  const unread = Array.from({ length: UNREAD_CALLERS }, (_, index) =>
    call(t, entry, PATHS[index % PATHS.length] ?? ''),
  );
  await sleep(READ_INTERVAL_MS);
  const served = await Promise.all(PATHS.map((path) => send(entry.address, { path })));
  served.forEach(({ isComplete, body }) => {
    t.ok(isComplete);
    t.equal(body.length, ANSWER_BYTES);
  });
  const ended = [entry, owner].map(({ metrics }) => metrics.counter('unread_answers_ended').value);
  t.ok(Math.max(...ended) > 0, `ended: ${ended.join()}`);
  await Promise.all(unread.map(({ readAll }) => readAll()));
  const broken = unread.filter(({ countBytes }) => countBytes() < ANSWER_BYTES);
  t.ok(broken.length > 0, `${broken.length} broken off`);
  t.notOk(broken.some(({ hasLastChunk }) => hasLastChunk()));
});

// Guards against a caller that reads and is cut off, as its second answer waits for the first one.
tap.test('an answer behind a late one is not ended where room is short', async (t) => {
  const [entry] = await startMesh(t, SMALL_MEMORY_MB);
  const [host = '', port] = entry.address.split(':');
  const pipelined = Array.from({ length: UNREAD_CALLERS }, async () => {
    const socket = connect(Number(port), host);
    socket.write('GET /late HTTP/1.1\r\nHost: a\r\n\r\n');
    socket.write('GET /short HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n');
    const parts = (await socket.toArray().catch(() => [])) as Buffer[];
    return Buffer.concat(parts).toString();
  });
  await sleep(READ_INTERVAL_MS);
  Array.from({ length: UNREAD_CALLERS }, () => call(t, entry, '/chunks'));
  const texts = await Promise.all(pipelined);
  t.ok(entry.metrics.counter('unread_answers_ended').value > 0);
  const wholeLengthBytes = SHORT_PARTS.length * 8_192;
  const whole = texts.filter(
    (text) => text.includes('late') && (text.match(/x/g) ?? []).length >= wholeLengthBytes,
  );
  t.equal(whole.length, UNREAD_CALLERS);
});
