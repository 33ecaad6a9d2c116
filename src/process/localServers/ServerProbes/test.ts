import { createServer } from 'node:http';

import tap from 'tap';

import type { RequestListener } from 'node:http';
import type { Test } from 'tap';
import { listenOnLoopback } from '../../../../test/requestMesh/index.js';
import startFloodingServer from '../../../../test/startFloodingServer/index.js';
import { LocalServers, computeLoad } from '../LocalServers/index.js';
import { AnnouncedState } from '../_lib/parseAnnouncement.js';
import { ServerProbes } from './index.js';

const START_MS = 1_000_000;
/** Below the timeout of a probe. */
const MAX_PROBE_MS = 900;
/** Far above the limit on overhead plus what the buffers of both systems hold of one connection. */
const MAX_SENT_BYTES = 16 * 1_048_576;

const probeAddress = async (t: Test, address: string) => {
  const localServers = new LocalServers({ nodeId: 'n1', dataCentre: 'a', incarnation: 1n });
  const announcement = {
    service: 'desk',
    address,
    slots: 10,
    connections: 20,
    state: AnnouncedState.Serving,
  };
  localServers.announce('desk-1', announcement, START_MS);
  const probes = new ServerProbes({ localServers, getNowMs: () => START_MS });
  t.teardown(() => probes.stop());
  await probes.probe();
  const local = localServers.find('desk-1');
  if (!local) throw new Error('not announced');
  return local;
};

const probeOnce = async (t: Test, listener: RequestListener) => {
  const server = createServer(listener);
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return probeAddress(t, await listenOnLoopback(server));
};

const respondWith =
  (status: number, load: unknown): RequestListener =>
  (request, response) => {
    response.statusCode = request.url === '/health' ? status : 200;
    response.end(JSON.stringify(load));
  };

tap.test('a reported load above the exact count is used, up to 0.9', async (t) => {
  const busy = await probeOnce(t, respondWith(200, { inFlight: 5, slots: 10 }));
  t.equal(computeLoad(busy, START_MS), 0.5);
  const overstated = await probeOnce(t, respondWith(200, { inFlight: 1_000, slots: 10 }));
  t.equal(computeLoad(overstated, START_MS), 0.9);
  const unhealthy = await probeOnce(t, respondWith(503, { inFlight: 0, slots: 10 }));
  t.equal(computeLoad(unhealthy, START_MS), 0.9);
});

tap.test('a stale hint and an invalid load response are ignored', async (t) => {
  const busy = await probeOnce(t, respondWith(200, { inFlight: 5, slots: 10 }));
  t.equal(computeLoad(busy, START_MS + 5_001), 0);
  const invalid = await probeOnce(t, respondWith(404, { inFlight: 'many' }));
  t.equal(computeLoad(invalid, START_MS), 0);
  const understated = await probeOnce(t, respondWith(200, { inFlight: 0, slots: 10 }));
  const demand = { deadlineMs: START_MS + 1_000, isRetry: false, isSlow: false };
  Array.from({ length: 8 }).forEach(() =>
    understated.gate.admit(demand, START_MS, () => undefined),
  );
  t.equal(computeLoad(understated, START_MS), 0.8, 'the exact count takes precedence');
});

// Guards against probes that parse bytes without end until their time is over, each round.
tap.test('a server that sends bytes without end is probed at little cost', async (t) => {
  const server = await startFloodingServer(t, { start: 'HTTP/1.1 200 ' });
  const startedAtMs = performance.now();
  const local = await probeAddress(t, server.address);
  const elapsedMs = Math.round(performance.now() - startedAtMs);
  t.equal(local.hint?.isHealthy, false);
  t.ok(elapsedMs < MAX_PROBE_MS, `${elapsedMs} ms`);
  t.ok(server.sentBytes() < MAX_SENT_BYTES, `${server.sentBytes()} bytes`);
});
