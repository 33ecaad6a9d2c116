/** Generated answers of a backend server, through an entry node and the owner of the server. */
import { setTimeout as delay } from 'node:timers/promises';

import fc from 'fast-check';
import tap from 'tap';

import type { Socket } from 'node:net';
import type { Test } from 'tap';
import { TestMesh, send } from '../../test/requestMesh/index.js';
import startRawBackend from '../../test/requestMesh/startRawBackend.js';
import { FUZZ_RUNS } from '../_lib/runFuzz.js';

import type { TestReply } from '../../test/requestMesh/index.js';

/** Seed of the runs; can be set with `FUZZ_SEED`. */
const SEED = Number(process.env.FUZZ_SEED ?? 5_003);
const RETENTION_MS = 300_000;
const NODE_IDS = ['n1', 'n2', 'n3', 'n4', 'n5'];
const MAX_CUTS = 12;

enum Framing {
  Length = 'LENGTH',
  Chunks = 'CHUNKS',
  Close = 'CLOSE',
}

interface Answer {
  statusCode: number;
  framing: Framing;
  body: string;
  /** All bytes, as latin1. */
  bytes: string;
  /** Positions in the bytes, from 0 to 1, at which they are cut. */
  cuts: number[];
  isKeyed: boolean;
}

const INTERIM = [
  'HTTP/1.1 100 Continue\r\n\r\n',
  'HTTP/1.1 100\r\n\r\n',
  'HTTP/1.1 100 Continue\r\nDate: now\r\nLink: </x>\r\n\r\n',
  'HTTP/1.1 100 Continue\n\n',
  'HTTP/1.1 102 Processing\r\n\r\n',
  'HTTP/1.1 199 Later\r\nx-a: HTTP/1.1 200 OK\r\n\r\n',
  'HTTP/1.1 103 Early Hints\r\nLink: </a.css>; rel="preload prefetch"\r\n\r\n',
  'HTTP/1.1 103 Early Hints\r\nLink: </a.css>; rel=preload, </b;c.css>; title="a; b, c"\r\n\r\n',
  'HTTP/1.1 103 Early Hints\r\nLink: a.css rel\r\nLink: </b>\r\n\r\n',
  'HTTP/1.1 103 Early Hints\r\nLink: \r\nx-a: \xe9\r\n\r\n',
  'HTTP/1.1 103 Early Hints\r\n\r\n',
  '\r\n',
];
const FIELDS = [
  'Trailer: x-sum\r\n',
  'x-a: "\xe9; b"\r\n',
  'x-empty:\r\n',
  'Link: </a>\r\n',
  'Keep-Alive: timeout=5\r\n',
  'Connection: x-hop\r\nx-hop: 1\r\n',
];
const TRAILERS = [
  'x-sum: abc\r\n',
  'x-b:\r\n',
  'x-sum: \xe9\r\n',
  'x sum: a\r\n',
  'x-sum: a\u0001b\r\n',
  'x-sum: a\r\n b\r\n',
  ': a\r\n',
  'no colon\r\n',
  'content-length: 3\r\n',
  'transfer-encoding: chunked\r\n',
  'connection: close\r\n',
  'upgrade: x\r\n',
];

const body = fc.array(fc.string({ unit: 'grapheme-ascii', maxLength: 40 }), { maxLength: 5 });

const pick = (from: string[], maxLength: number): fc.Arbitrary<string> =>
  fc.array(fc.constantFrom(...from), { maxLength }).map((parts) => parts.join(''));

const createBytes = (
  statusCode: number,
  framing: Framing,
  parts: { interim: string; fields: string; body: string[]; trailers: string },
): string => {
  const head = `${parts.interim}HTTP/1.1 ${statusCode} Odd\r\n${parts.fields}`;
  const whole = parts.body.join('');
  if (framing === Framing.Close) return `${head}\r\n${whole}`;
  if (framing === Framing.Length) return `${head}content-length: ${whole.length}\r\n\r\n${whole}`;
  const chunks = parts.body
    .filter((chunk) => chunk !== '')
    .map(
      (chunk, index) => `${chunk.length.toString(16)}${index === 1 ? ';a=b' : ''}\r\n${chunk}\r\n`,
    );
  return `${head}transfer-encoding: chunked\r\n\r\n${chunks.join('')}0\r\n${parts.trailers}\r\n`;
};

const answers: fc.Arbitrary<Answer> = fc
  .record({
    statusCode: fc.constantFrom(200, 201, 404),
    framing: fc.constantFrom(...Object.values(Framing)),
    interim: pick(INTERIM, 6),
    fields: pick(FIELDS, 3),
    body,
    trailers: pick(TRAILERS, 2),
    cuts: fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { maxLength: MAX_CUTS }),
    isKeyed: fc.boolean(),
  })
  .map(({ statusCode, framing, cuts, isKeyed, ...parts }) => ({
    statusCode,
    framing,
    body: parts.body.join(''),
    bytes: createBytes(statusCode, framing, parts),
    cuts,
    isKeyed,
  }));

const writeParts = (socket: Socket, parts: string[], end: () => void): void => {
  const [part, ...rest] = parts;
  if (part === undefined || socket.destroyed) {
    end();
    return;
  }
  socket.write(part, 'latin1', () => setImmediate(writeParts, socket, rest, end));
};

const cut = ({ bytes, cuts }: Answer): string[] => {
  const positions = cuts.map((position) => Math.floor(position * bytes.length));
  const sorted = [0, ...positions, bytes.length].toSorted((left, right) => left - right);
  return sorted.slice(1).map((end, index) => bytes.slice(sorted[index], end));
};

/** Starts nodes and a backend; returns a function that has an answer sent, and the exceptions so far. */
const startNodes = async (t: Test) => {
  const uncaught: unknown[] = [];
  const record = (reason: unknown): void => {
    uncaught.push(reason);
  };
  process.on('unhandledRejection', record).on('uncaughtException', record);
  t.teardown(() => process.off('unhandledRejection', record).off('uncaughtException', record));
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const startedAtMs = Date.now() - 2 * RETENTION_MS;
  const [entry, owner] = await Promise.all(
    NODE_IDS.map((id) => mesh.startNode(id, { startedAtMs, idempotencyRetentionMs: RETENTION_MS })),
  );
  if (!entry || !owner) throw new Error('no node');
  const post = (key: string, id: string): Promise<TestReply> =>
    send(entry.address, {
      method: 'POST',
      path: '/orders',
      headers: { 'idempotency-key': key, 'attempt-id': id, host: 'desk' },
      body: 'bundle',
    });
  // Nodes accept idempotency keys once they have observed each other.
  while ((await post('warm-up', '0')).headers['foxtailvane-reason'] !== 'NO_SERVER') {
    await delay(20);
  }
  const writers = new Map<string, (socket: Socket) => void>();
  t.teardown(
    await startRawBackend(mesh, owner, (attemptId, socket) => writers.get(attemptId)?.(socket)),
  );
  let sent = 0;
  const exchange = async (
    { isKeyed }: Answer,
    write: (socket: Socket) => void,
  ): Promise<TestReply | undefined> => {
    sent += 1;
    const id = String(sent);
    writers.set(id, write);
    const sending = isKeyed
      ? post(id, id)
      : send(entry.address, { headers: { 'attempt-id': id, host: 'desk' } });
    const reply = await sending.catch(() => undefined);
    writers.delete(id);
    return reply;
  };
  return { exchange, uncaught };
};

// Guards against a good answer that is lost because of a part that its caller does not need.
tap.test('any legal answer reaches its caller whole', { timeout: 600_000 }, async (t) => {
  const { exchange, uncaught } = await startNodes(t);
  await fc.assert(
    fc.asyncProperty(answers, async (answer) => {
      const reply = await exchange(answer, (socket) => {
        writeParts(socket, cut(answer), () => {
          if (answer.framing === Framing.Close) socket.end();
        });
      });
      const { statusCode, body: expected } = answer;
      const isWhole = reply?.status === statusCode && reply.body === expected && reply.isComplete;
      if (!isWhole) throw new Error(`${JSON.stringify(reply)} ${uncaught.join()}`);
      return uncaught.length === 0;
    }),
    { seed: SEED, numRuns: FUZZ_RUNS, endOnFailure: true },
  );
  t.strictSame(uncaught, []);
});

// Guards against a part of an answer that its caller takes for the whole, and against exceptions.
tap.test(
  'an answer that is cut off or changed is never whole but wrong',
  { timeout: 600_000 },
  async (t) => {
    const { exchange, uncaught } = await startNodes(t);
    const framed = answers.filter(({ framing }) => framing !== Framing.Close);
    await fc.assert(
      fc.asyncProperty(
        framed,
        fc.double({ min: 0, max: 1, noNaN: true }),
        async (answer, share) => {
          const kept = answer.bytes.slice(0, Math.floor(share * answer.bytes.length));
          const reply = await exchange(answer, (socket) => {
            writeParts(socket, cut({ ...answer, bytes: kept }), () => socket.end());
          });
          // Refusals of the nodes say so by their status.
          const isWrong =
            reply?.isComplete === true &&
            reply.status === answer.statusCode &&
            reply.body !== answer.body;
          if (isWrong) throw new Error(JSON.stringify(reply));
          return uncaught.length === 0;
        },
      ),
      { seed: SEED, numRuns: FUZZ_RUNS, endOnFailure: true },
    );
    t.strictSame(uncaught, []);
  },
);
