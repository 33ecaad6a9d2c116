/** Orders with a streamed body that crash every backend server that runs them. */
import { createHash, randomUUID } from 'node:crypto';
import { request as sendRequest } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

import tap from 'tap';

import type { Test } from 'tap';
import PlatformDialect from '../../platform/PlatformDialect.js';
import { LeastDelaySelector } from '../../src/request/index.js';
import { TestMesh } from '../requestMesh/index.js';
import type { TestBackend, TestNode } from '../requestMesh/index.js';

/** Bounds of the users: time after the third crash, and requests that may reach servers after it. */
const CONTACT_MS = 3_000;
const MAX_LATER_RUNS = 3;

const RESTART_MS = 300;
const NODE_COUNT = 4;
const ORDER_PATH = '/orders/place';
const FATAL = 'fatal';
const KIBIBYTE = 1_024;

interface BodyForm {
  sizeBytes: number;
  isChunked: boolean;
  partCount: number;
  partIntervalMs: number;
  /** Whether a server ends with the first bytes of the body; otherwise with the last. */
  crashesAtFirstPart?: boolean;
}

const FORMS: Record<string, BodyForm> = {
  'in chunks that come apart': {
    sizeBytes: 100,
    isChunked: true,
    partCount: 2,
    partIntervalMs: 50,
  },
  'in chunks without a pause': { sizeBytes: 100, isChunked: true, partCount: 2, partIntervalMs: 0 },
  'longer than the buffer, with a length': {
    sizeBytes: 200 * KIBIBYTE,
    isChunked: false,
    partCount: 4,
    partIntervalMs: 20,
  },
  'longer than the buffer, in chunks': {
    sizeBytes: 200 * KIBIBYTE,
    isChunked: true,
    partCount: 4,
    partIntervalMs: 20,
  },
  'that crashes a server before it is complete': {
    sizeBytes: 100,
    isChunked: true,
    partCount: 2,
    partIntervalMs: 200,
    crashesAtFirstPart: true,
  },
};

const digest = (body: Buffer): string => createHash('sha256').update(body).digest('hex');

const crash = ({ server, address }: TestBackend): void => {
  if (!server.listening) return;
  server.close();
  server.closeAllConnections();
  setTimeout(() => server.listen(Number(address.split(':')[1]), '127.0.0.1'), RESTART_MS);
};

const startServers = async (t: Test, form: BodyForm) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const crashedAtMs: number[] = [];
  const nodes = await Promise.all(
    Array.from({ length: NODE_COUNT }, (_, index) =>
      mesh.startNode(`n${index}`, {
        dialect: new PlatformDialect(),
        probeIntervalMs: 0,
        callerService: () => 'desk',
        createSelector: (parts) => new LeastDelaySelector(parts),
      }),
    ),
  );
  await Promise.all(
    nodes.map(async (node) => {
      const backend: TestBackend = await mesh.startBackend(node, (request, response) => {
        const chunks: Buffer[] = [];
        let isFatal = false;
        const endServer = (): void => {
          isFatal = true;
          crashedAtMs.push(performance.now());
          crash(backend);
        };
        request.on('error', () => undefined);
        request.on('data', (chunk: Buffer) => {
          chunks.push(chunk);
          const isFirst = chunks.length === 1 && String(chunk).startsWith(FATAL);
          if (isFirst && form.crashesAtFirstPart) endServer();
        });
        request.on('end', () => {
          if (isFatal) return;
          if (String(chunks[0]).startsWith(FATAL)) {
            endServer();
            return;
          }
          const attemptId = String(request.headers['attempt-id']);
          const headers = { 'attempt-id': attemptId, 'server-stamp': 's' };
          const isUnchanged = digest(Buffer.concat(chunks)) === request.headers['x-digest'];
          setTimeout(() => response.writeHead(isUnchanged ? 200 : 500, headers).end('ok'), 20);
        });
      });
    }),
  );
  return { nodes, crashedAtMs };
};

/** Sends an order in parts; resolves with its status, or 0 if the connection is closed. */
const order = (node: TestNode | undefined, name: string, form: BodyForm): Promise<number> =>
  new Promise((resolve) => {
    const { sizeBytes, isChunked, partCount, partIntervalMs } = form;
    const body = Buffer.alloc(sizeBytes, `${name} `);
    const headers = {
      'attempt-id': randomUUID(),
      'deadline-remaining': '1500',
      'x-digest': digest(body),
      ...(isChunked ? { 'transfer-encoding': 'chunked' } : { 'content-length': sizeBytes }),
    };
    const options = { method: 'POST', headers, agent: false };
    const request = sendRequest(`http://${node?.address}${ORDER_PATH}`, options, (response) => {
      response.resume();
      response.on('close', () => resolve(response.statusCode ?? 0));
    });
    request.on('error', () => resolve(0));
    const partBytes = sizeBytes / partCount;
    const sendParts = async (): Promise<void> => {
      for (let index = 0; index < partCount; index += 1) {
        request.write(body.subarray(index * partBytes, (index + 1) * partBytes));
        if (partIntervalMs > 0) await delay(partIntervalMs);
      }
      request.end();
    };
    sendParts().catch(() => resolve(0));
  });

/** Sends orders until the time is over; returns their statuses. */
const repeat = async (
  send: (index: number) => Promise<number>,
  { intervalMs, untilMs }: { intervalMs: number; untilMs: number },
): Promise<number[]> => {
  const statuses: Promise<number>[] = [];
  for (let index = 0; performance.now() < untilMs; index += 1) {
    statuses.push(send(index));
    await delay(intervalMs);
  }
  return Promise.all(statuses);
};

// Guards against a streamed order that takes down one server after the other, because answers to other
// orders of the same caller on the same path clear it.
Object.entries(FORMS).forEach(([name, form]) => {
  tap.test(`an order ${name} is refused after three crashes`, async (t) => {
    const { nodes, crashedAtMs } = await startServers(t, form);
    const untilMs = performance.now() + CONTACT_MS + 4_000;
    const [fatal, others] = await Promise.all([
      repeat(() => order(nodes[0], FATAL, form), { intervalMs: 350, untilMs }),
      repeat((index) => order(nodes[index % NODE_COUNT], `order ${index}`, form), {
        intervalMs: 40,
        untilMs,
      }),
    ]);
    const boundMs = (crashedAtMs[2] ?? Infinity) + CONTACT_MS;
    const later = crashedAtMs.filter((atMs) => atMs > boundMs).length;
    t.ok(crashedAtMs.length >= 3, `${crashedAtMs.length} crashes`);
    t.ok(
      later <= MAX_LATER_RUNS,
      `${later} runs later than ${CONTACT_MS} ms after the third crash`,
    );
    t.equal(fatal.at(-1), 503, 'the order is refused as not run');
    const lastOthers = others.slice(-Math.floor(others.length / 4));
    t.strictSame(
      new Set(lastOthers),
      new Set([200]),
      'other orders are served, with their bodies unchanged',
    );
    // A server that starts again during the teardown would keep the process running.
    await delay(2 * RESTART_MS);
  });
});
