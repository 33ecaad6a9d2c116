import { connect, createServer } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import tap from 'tap';

import type { RequestListener } from 'node:http';
import type { Socket } from 'node:net';
import type { Test } from 'tap';
import { splitAddress } from '../../connection/splitAddress/index.js';
import { TestMesh, listenOnLoopback, send } from '../../../test/requestMesh/index.js';
import type { TestNode } from '../../../test/requestMesh/index.js';

/** Longer than the time after which a node without an acknowledgement counts as unresponsive. */
const SLOW_NODE_MS = 900;
const DRAIN_GRACE_MS = 1_500;
const DRAIN_TIMEOUT_MS = 10_000;
const WORK_MS = 60;
const SLOTS = 2;
const REQUESTS = 6;

/** Passes what a node sends to another one on after a delay, as if the other had stood still. */
const delayRequests = async (t: Test, { localServers }: TestNode): Promise<void> => {
  const { host, port } = splitAddress(localServers.record().forwardAddress);
  const sockets = new Set<Socket>();
  const link = createServer((socket) => {
    const upstream = connect(port, host);
    [socket, upstream].forEach((end) => sockets.add(end.on('error', () => end.destroy())));
    setTimeout(() => socket.pipe(upstream), SLOW_NODE_MS);
    upstream.pipe(socket);
  });
  const address = await listenOnLoopback(link);
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    link.close();
  });
  localServers.setAddresses({ forwardAddress: address, peerAddress: address });
};

const work: RequestListener = (_, response) => {
  setTimeout(() => response.end('served'), WORK_MS);
};

// Guards against requests that a stop breaks off or answers in place of their server: they are
// acknowledged and wait for its only slot, or their node reads them only after its own stop began.
[false, true].forEach((isSlow) =>
  ['owner', 'both'].forEach((stopped) =>
    ['GET', 'POST'].forEach((method) =>
      tap.test(
        `${method} requests are served while the stop of ${stopped} runs; slow link: ${isSlow}`,
        async (t) => {
          const mesh = new TestMesh();
          t.teardown(() => mesh.stop());
          const options = { drainGraceMs: DRAIN_GRACE_MS };
          const entry = await mesh.startNode('entry', options);
          const owner = await mesh.startNode('owner', options);
          await mesh.startBackend(owner, work, { slots: SLOTS });
          if (isSlow) await delayRequests(t, owner);
          const path = method === 'POST' ? '/orders' : '/';
          const replies = Promise.all(
            Array.from({ length: REQUESTS }, () => send(entry.address, { method, path })),
          );
          while (entry.requestServer.inFlight < REQUESTS) await delay(1);
          await delay(WORK_MS / 2);
          const drained = [entry, owner]
            .slice(stopped === 'both' ? 0 : 1)
            .map(({ requestServer }) => requestServer.drain(DRAIN_TIMEOUT_MS));
          const statuses = (await replies).map(({ status, body }) => `${status} ${body}`);
          t.strictSame([...new Set(statuses)], ['200 served']);
          await Promise.all(drained);
        },
      ),
    ),
  ),
);
