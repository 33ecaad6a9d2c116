import { setTimeout as delay } from 'node:timers/promises';

import tap from 'tap';

import type { RequestListener } from 'node:http';
import type { Test } from 'tap';
import createRandom from '../../../test/requestMesh/createRandom.js';
import { TestMesh, send } from '../../../test/requestMesh/index.js';

import type { TestNode } from '../../../test/requestMesh/index.js';

const RETENTION_MS = 300_000;
const NODE_IDS = ['n1', 'n2', 'n3', 'n4', 'n5'];

const post = (node: TestNode | undefined, key: string, body = 'bundle') =>
  send(node?.address ?? '', {
    method: 'POST',
    path: '/orders',
    // The host is part of the key; a fixed one keeps the holders the same in each run.
    headers: { 'idempotency-key': key, host: 'desk' },
    body,
  });

/** Starts one server and nodes whose start time is before the retention window. */
const startMesh = async (t: Test, listener?: RequestListener) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const startedAtMs = Date.now() - 2 * RETENTION_MS;
  const nodes = await Promise.all(
    NODE_IDS.map((id) => mesh.startNode(id, { startedAtMs, idempotencyRetentionMs: RETENTION_MS })),
  );
  const [owner] = nodes;
  if (!owner) throw new Error('no node');
  const seen = { runs: 0, runsByKey: new Map<string, number>() };
  const run: RequestListener = (request, response) => {
    seen.runs += 1;
    const key = String(request.headers['idempotency-key']);
    seen.runsByKey.set(key, (seen.runsByKey.get(key) ?? 0) + 1);
    if (listener) listener(request, response);
    else response.end(`order ${seen.runs}`);
  };
  const startBackend = () => mesh.startBackend(owner, run);
  // Nodes accept idempotency keys once they have observed each other.
  while ((await post(owner, 'warm-up')).headers['foxtailvane-reason'] !== 'NO_SERVER') {
    await delay(20);
  }
  await startBackend();
  const remove = (node: TestNode | undefined): void => {
    node?.stopPeer();
    mesh.directory.nodes.delete(node?.nodeId ?? '');
  };
  return { mesh, nodes, seen, remove };
};

tap.test('repeats through any node replay the first response; the order runs once', async (t) => {
  const { nodes, seen } = await startMesh(t);
  const first = await post(nodes[0], 'k1');
  t.equal(first.body, 'order 1');
  const repeats = await Promise.all(nodes.map((node) => post(node, 'k1')));
  repeats.forEach((reply) => {
    t.equal(reply.status, 200);
    t.equal(reply.body, 'order 1');
    t.equal(reply.headers['idempotent-replayed'], 'true');
  });
  t.equal(seen.runs, 1);
  t.equal((await post(nodes[1], 'k2')).body, 'order 2');
});

// Guards against a part that a repeat gets as a whole, because the stored response is framed anew.
tap.test('the replay of a response without a length ends with its connection', async (t) => {
  const { nodes } = await startMesh(t, (_, response) => {
    response.socket?.end('HTTP/1.1 200 OK\r\n\r\norder');
  });
  const replies = [await post(nodes[0], 'k1'), await post(nodes[1], 'k1')];
  replies.forEach(({ headers, body }) => {
    t.equal(body, 'order');
    t.equal(headers.connection, 'close');
    t.equal(headers['transfer-encoding'], undefined);
    t.equal(headers['content-length'], undefined);
  });
  t.equal(replies[1]?.headers['idempotent-replayed'], 'true');
});

tap.test('concurrent repeats run once; the others are refused or replayed', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const { nodes, seen } = await startMesh(t, (_, response) => {
    setTimeout(() => response.end('done'), Math.floor(random() * 20));
  });
  const keys = Array.from({ length: 20 }, (_, index) => `key-${index}`);
  const replies = await Promise.all(
    keys.flatMap((key) => nodes.flatMap((node) => [post(node, key), post(node, key)])),
  );
  const perKey = 2 * nodes.length;
  keys.forEach((key, index) => {
    const runs = seen.runsByKey.get(key) ?? 0;
    const answers = replies
      .slice(index * perKey, (index + 1) * perKey)
      .map((reply) => `${reply.status} ${String(reply.headers['foxtailvane-reason'] ?? '')}`);
    t.equal(runs, 1, `${key}: ${answers.join(', ')}`);
  });
  replies.forEach((reply) => {
    const isRefused = reply.status === 409 || reply.status === 503;
    if (reply.status !== 200 && !isRefused) t.fail(`status ${reply.status}`);
  });
});

tap.test('recently started nodes refuse keyed orders, because a repeat could run', async (t) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const node = await mesh.startNode('n1');
  let runs = 0;
  await mesh.startBackend(node, (_, response) => {
    runs += 1;
    response.end();
  });
  await delay(200);
  const reply = await post(node, 'k1');
  t.equal(reply.status, 503);
  t.equal(reply.headers['foxtailvane-outcome'], 'not-run');
  t.equal(reply.headers['foxtailvane-reason'], 'IDEMPOTENCY_HOLDERS_COLD');
  t.equal(runs, 0);
});

tap.test('an order does not run again after its key lost one or both holders', async (t) => {
  const { nodes, seen, remove } = await startMesh(t);
  const keys = Array.from({ length: 60 }, (_, index) => `key-${index}`);
  await Promise.all(keys.map((key) => post(nodes[0], key)));
  t.equal(seen.runs, keys.length);
  remove(nodes[1]);
  const afterOne = await Promise.all(keys.map((key) => post(nodes[0], key)));
  t.strictSame(new Set(afterOne.map((reply) => reply.status)), new Set([200]));
  remove(nodes[2]);
  const afterTwo = await Promise.all(keys.map((key) => post(nodes[0], key)));
  const refused = afterTwo.filter((reply) => reply.status !== 200);
  t.ok(refused.length > 0, `${refused.length} of ${keys.length} refused after both are lost`);
  refused.forEach((reply) => t.equal(reply.headers['foxtailvane-outcome'], 'not-run'));
  t.equal(seen.runs, keys.length);
});

tap.test('an order is refused as not run while a listed holder is unreachable', async (t) => {
  const { nodes, seen } = await startMesh(t);
  nodes[1]?.stopPeer();
  const keys = Array.from({ length: 20 }, (_, index) => `key-${index}`);
  const replies = await Promise.all(keys.map((key) => post(nodes[0], key)));
  const refused = replies.filter((reply) => reply.status !== 200);
  t.ok(refused.length > 0);
  refused.forEach((reply) => t.equal(reply.headers['foxtailvane-outcome'], 'not-run'));
  t.equal(seen.runs, keys.length - refused.length);
});

tap.test('after an unknown outcome, repeats are refused with an unknown outcome', async (t) => {
  const { nodes, seen } = await startMesh(t, (request) => request.socket.resetAndDestroy());
  const first = await post(nodes[0], 'k1');
  t.equal(first.status, 502);
  const repeat = await post(nodes[3], 'k1');
  t.equal(repeat.status, 409);
  t.equal(repeat.headers['foxtailvane-outcome'], 'unknown');
  t.equal(seen.runs, 1);
});

tap.test('the key of a request that did not run can be used again', async (t) => {
  const { mesh, nodes, seen } = await startMesh(t);
  const [owner] = nodes;
  const announced = owner?.localServers.list()[0];
  const serverId = announced?.server.serverId ?? '';
  owner?.localServers.withdraw(serverId);
  t.equal((await post(nodes[2], 'k1')).headers['foxtailvane-outcome'], 'not-run');
  t.equal(seen.runs, 0);
  if (!owner) throw new Error('no node');
  await mesh.startBackend(owner, (_, response) => {
    response.end('late');
  });
  t.equal((await post(nodes[2], 'k1')).body, 'late');
});

tap.test('a key with a different body is refused', async (t) => {
  const { nodes, seen } = await startMesh(t);
  await post(nodes[0], 'k1', 'two bundles');
  const other = await post(nodes[1], 'k1', 'three bundles');
  t.equal(other.status, 422);
  t.equal(other.headers['foxtailvane-outcome'], 'not-run');
  t.equal(seen.runs, 1);
});

tap.test('a response too large to store is forwarded, and repeats are refused', async (t) => {
  const large = 'x'.repeat(200_000);
  const { nodes, seen } = await startMesh(t, (_, response) => {
    response.end(large);
  });
  t.equal((await post(nodes[0], 'k1')).body.length, large.length);
  t.equal((await post(nodes[1], 'k1')).status, 409);
  t.equal(seen.runs, 1);
});

const ANSWERS_WITH_TRAILERS: Record<string, string> = {
  'an announcement of trailers and a length':
    'HTTP/1.1 200 OK\r\ntrailer: x-sum\r\ncontent-length: 2\r\n\r\nok',
  'trailers that cannot be parsed':
    'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx sum: \u0001\r\n\r\n',
  trailers:
    'HTTP/1.1 200 OK\r\ntrailer: x-sum\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx-sum: a\r\n\r\n',
};

// Guards against a process that ends because of an exception after an answer was stored.
Object.entries(ANSWERS_WITH_TRAILERS).forEach(([name, answer]) =>
  tap.test(
    `an order whose answer has ${name} is answered and replayed`,
    { timeout: 30_000 },
    async (t) => {
      const rejections: unknown[] = [];
      const recordRejection = (reason: unknown): void => {
        rejections.push(reason);
      };
      process.on('unhandledRejection', recordRejection);
      t.teardown(() => process.off('unhandledRejection', recordRejection));
      const { nodes, seen } = await startMesh(t, (_, response) => response.socket?.end(answer));
      const first = await post(nodes[0], 'k1');
      const repeat = await post(nodes[1], 'k1');
      await delay(10);
      t.strictSame(rejections, []);
      [first, repeat].forEach(({ status, body, isComplete }) =>
        t.strictSame({ status, body, isComplete }, { status: 200, body: 'ok', isComplete: true }),
      );
      t.equal(seen.runs, 1);
    },
  ),
);
