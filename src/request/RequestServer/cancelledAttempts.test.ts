import { createServer as createHttpServer } from 'node:http';
import { connect, createServer } from 'node:net';

import { createHash } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';

import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import type { RequestListener } from 'node:http';
import type { Socket } from 'node:net';
import type { Test } from 'tap';
import PlatformDialect from '../../../platform/PlatformDialect.js';
import { buildConfiguration } from '../../../stand-ins/configurations/index.js';
import { expectOk } from '../../../stand-ins/results/index.js';
import sendRaw from '../../../test/requestMesh/sendRaw.js';
import { ServiceSchema } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import { splitAddress } from '../../connection/splitAddress/index.js';
import { compileConfiguration } from '../../version/compileConfiguration/index.js';
import WorkspaceLimiter from '../limitWorkspaces/index.js';
import {
  TestMesh,
  compileForTest,
  createRoute,
  listenOnLoopback,
  send,
} from '../../../test/requestMesh/index.js';
import type { TestNode } from '../../../test/requestMesh/index.js';

/** Longer than the time after which a node without an acknowledgement counts as unresponsive. */
const SLOW_NODE_MS = 900;
/** A second server is announced then, so that all first attempts go to the slow node. */
const ANNOUNCED_AFTER_MS = 100;
const LOOKUPS = 8;

const startMesh = async (t: Test) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  mesh.configuration = compileForTest(
    [createRoute({ maxAttempts: 2 })],
    [create(ServiceSchema, { name: 'desk', timeoutMs: 20_000 })],
  );
  const entry = await mesh.startNode('entry');
  const slow = await mesh.startNode('slow');
  return { mesh, entry, slow };
};

/** Passes all that a node is sent on after a delay; returns how many requests it was sent. */
const delayRequests = async (t: Test, { localServers }: TestNode): Promise<() => number> => {
  const { host, port } = splitAddress(localServers.record().forwardAddress);
  const sockets = new Set<Socket>();
  let requests = 0;
  const link = createServer((socket) => {
    const upstream = connect(port, host);
    [socket, upstream].forEach((end) => sockets.add(end.on('error', () => end.destroy())));
    socket.on('data', (chunk) => {
      // Probes are no requests.
      if (chunk.includes('foxtailvane-call')) requests += 1;
      setTimeout(() => upstream.write(chunk), SLOW_NODE_MS);
    });
    socket.on('close', () => setTimeout(() => upstream.destroy(), SLOW_NODE_MS));
    upstream.pipe(socket);
  });
  const address = await listenOnLoopback(link);
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    link.close();
  });
  localServers.setAddresses({ forwardAddress: address, peerAddress: address });
  return () => requests;
};

/** Starts a server with one slot beside the entry node, whose slot is taken for a while. */
const startBusyServer = async (
  mesh: TestMesh,
  entry: TestNode,
  listener: RequestListener,
  busyMs: number,
): Promise<void> => {
  await mesh.startBackend(entry, listener, { slots: 1 });
  const gate = entry.localServers.list()[0]?.gate;
  const demand = { deadlineMs: Date.now() + 20_000, isRetry: false, isSlow: false };
  gate?.admit(demand, Date.now(), () => undefined);
  setTimeout(() => gate?.release(demand, busyMs, Date.now()), busyMs);
};

// Guards against an answer in progress that is cut since a second attempt, which waited for a slot of
// the local server, got one and was answered.
tap.test('an attempt that waited for a slot does not cut the answer in progress', async (t) => {
  const { mesh, entry, slow } = await startMesh(t);
  let runs = 0;
  await mesh.startBackend(slow, async (_, response) => {
    response.write('a'.repeat(10_000));
    await delay(1_200);
    response.end('z');
  });
  await delayRequests(t, slow);
  const lookups = Array.from({ length: LOOKUPS }, () => send(entry.address));
  await delay(ANNOUNCED_AFTER_MS);
  const run: RequestListener = (_, response) => {
    runs += 1;
    response.end('local');
  };
  await startBusyServer(mesh, entry, run, 1_400);
  const replies = await Promise.all(lookups);
  replies.forEach(({ status, isComplete, body }) =>
    t.same([status, isComplete, body.length], [200, true, 10_001]),
  );
  t.equal(runs, 0, 'runs after the answer began');
});

// Guards against a run, for which nobody waits, of a lookup that another server has answered.
tap.test('an attempt that waits for a slot ends once another server has answered', async (t) => {
  const { mesh, entry, slow } = await startMesh(t);
  let runs = 0;
  await mesh.startBackend(slow, (_, response) => response.end('slow'));
  await delayRequests(t, slow);
  const lookups = Array.from({ length: LOOKUPS }, () => send(entry.address));
  await delay(ANNOUNCED_AFTER_MS);
  const run: RequestListener = (_, response) => {
    runs += 1;
    response.end('local');
  };
  await startBusyServer(mesh, entry, run, 2 * SLOW_NODE_MS);
  const replies = await Promise.all(lookups);
  replies.forEach(({ status, body }) => t.same([status, body], [200, 'slow']));
  t.equal(entry.localServers.list()[0]?.gate.waiting, 0, 'none waits for a slot');
  await delay(2 * SLOW_NODE_MS);
  t.equal(runs, 0, 'runs after the answer');
});

// Guards against a caller that waits for the rest of a broken answer while an attempt waits for a slot.
tap.test('a broken answer ends at once although an attempt waits for a slot', async (t) => {
  const { mesh, entry, slow } = await startMesh(t);
  await mesh.startBackend(slow, async (_, response) => {
    response.write('a'.repeat(10_000));
    await delay(100);
    response.destroy();
  });
  await delayRequests(t, slow);
  const startedAtMs = performance.now();
  const sendTimed = async () => {
    await send(entry.address);
    return performance.now() - startedAtMs;
  };
  const lookups = Array.from({ length: LOOKUPS }, sendTimed);
  await delay(ANNOUNCED_AFTER_MS);
  await startBusyServer(mesh, entry, (_, response) => response.end('local'), 4_000);
  const timesMs = await Promise.all(lookups);
  timesMs.forEach((timeMs) => t.ok(timeMs < 2_000, `${Math.round(timeMs)} ms`));
});

// Guards against answers of servers that are lost since a cancelled answer without a length had the
// connection closed.
tap.test('a held answer that is cancelled leaves the connection open', async (t) => {
  const { mesh, entry, slow } = await startMesh(t);
  const other = await mesh.startNode('other');
  const held = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => socket.write('HTTP/1.1 200 OK\r\n\r\nslow'));
  });
  const address = await listenOnLoopback(held);
  t.teardown(() => held.close());
  mesh.announce(slow, createHttpServer(), address);
  await delayRequests(t, slow);
  const lookup = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
  const last = 'GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n';
  const received = sendRaw(entry.address, `${lookup}${lookup}${last}`);
  await delay(ANNOUNCED_AFTER_MS);
  let runs = 0;
  await mesh.startBackend(other, (_, response) => {
    runs += 1;
    setTimeout(() => response.end('other'), SLOW_NODE_MS);
  });
  const answers = (await received).match(/HTTP\/1.1 200/g)?.length;
  t.equal(runs, 3);
  t.equal(answers, 3);
});

// Guards against lookups that wait for a node which is too slow each time, as its late acknowledgements
// count as a sign that it responds.
tap.test('a node that acknowledges too late is avoided until a probe succeeds', async (t) => {
  const { mesh, entry, slow } = await startMesh(t);
  const other = await mesh.startNode('other');
  let answerMs = 2 * SLOW_NODE_MS;
  await mesh.startBackend(slow, (_, response) => response.end('slow'));
  const countRequests = await delayRequests(t, slow);
  const first = Array.from({ length: LOOKUPS }, () => send(entry.address));
  await delay(ANNOUNCED_AFTER_MS);
  await mesh.startBackend(other, (_, response) => {
    setTimeout(() => response.end('other'), answerMs);
  });
  (await Promise.all(first)).forEach(({ body }) => t.equal(body, 'slow'));
  answerMs = 0;
  const requestsBefore = countRequests();
  const later = Array.from({ length: 2 * LOOKUPS }, () => send(entry.address));
  (await Promise.all(later)).forEach(({ body }) => t.equal(body, 'other'));
  t.equal(countRequests(), requestsBefore, 'no later lookup is sent to it');
});

/** Counts what is charged to a quota. */
class CountingLimiter extends WorkspaceLimiter {
  charged = 0;

  constructor() {
    const bounds = { windowS: 5, overage: 0.1, slack: 20 };
    super({ bounds, countNodes: () => 1, random: () => 0.5 });
  }

  override admit(): undefined {
    this.charged += 1;
  }

  override addRepeat(): void {
    this.charged += 1;
  }

  override giveBack(): void {
    this.charged -= 1;
  }
}

// Guards against a quota that is used up by attempts of which the servers say that they did not run.
tap.test('the quota is given back for each overlapping attempt that did not run', async (t) => {
  const key = 'dedev3nax7u27gxprymh';
  const { mesh } = await startMesh(t);
  const workspace = { name: 'oak 1', keyDigests: [createHash('sha256').update(key).digest()] };
  const configuration = buildConfiguration(1, {
    services: [{ name: 'desk' }],
    routes: [createRoute({ maxAttempts: 2 })],
    workspaces: [workspace],
  });
  mesh.configuration = expectOk(compileConfiguration(configuration));
  const workspaceLimiter = new CountingLimiter();
  const options = { dialect: new PlatformDialect(), readKeyProofLeftMs: () => 60_000 };
  const entry = await mesh.startNode('keyed', { ...options, workspaceLimiter });
  const refuse: RequestListener = ({ headers }, response) => {
    const attemptId = String(headers['attempt-id']);
    response.writeHead(503, { 'attempt-id': attemptId, 'not-executed': '1' }).end();
  };
  const owner = await mesh.startNode('owner', options);
  await mesh.startBackend(owner, refuse);
  await delayRequests(t, owner);
  const lookups = Array.from({ length: 4 }, (_, index) =>
    send(entry.address, {
      headers: { authorization: `Token ${key}`, 'attempt-id': `a${index}` },
    }),
  );
  await delay(ANNOUNCED_AFTER_MS);
  const third = await mesh.startNode('third', options);
  await mesh.startBackend(third, refuse);
  (await Promise.all(lookups)).forEach(({ status }) => t.equal(status, 503));
  t.equal(workspaceLimiter.charged, 0);
});
