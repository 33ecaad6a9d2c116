/**
 * Draining servers receive no request after 2 s, no request in flight is interrupted, and rolling
 * restarts fail no idempotent request.
 */
import tap from 'tap';

import { ExecutionEvent } from '../../stand-ins/backendServer/index.js';
import { RequestOutcome } from '../../stand-ins/recordingClient/index.js';
import { countOutcomes } from '../../stand-ins/verifyOutcomes/index.js';
import waitFor from '../../stand-ins/waitFor/index.js';
import {
  assertInvariants,
  chooseCount,
  sendDuring,
  startCluster,
  startDeskServers,
} from '../_lib/proof.js';

import type { RequestSpec } from '../../stand-ins/recordingClient/index.js';

// Longer than the 2 s after which no new request may arrive, so that a late one is recorded.
const DRAIN_MS = 4_000;
const DRAIN_LIMIT_MS = 2_000;
const ROLLING_ROUNDS = chooseCount(1, 5);

const LOOKUP: RequestSpec = { method: 'GET', path: '/stock', isIdempotent: true };

tap.test('draining', async (t) => {
  const cluster = await startCluster(t, { nodesPerDataCentre: 1 });
  await startDeskServers(cluster, {
    flags: ['--service-ms', '10', '--drain-ms', String(DRAIN_MS)],
  });

  await t.test('rolling restart of all servers fails no idempotent request', async (t2) => {
    const sent = await sendDuring(cluster, async () => {
      const restarts = Array.from({ length: ROLLING_ROUNDS }, () => cluster.backends).flat();
      for (let index = 0; index < restarts.length; index += 1) {
        const backend = restarts[index]!;
        t2.equal(await backend.process.terminate(), 0, `${backend.serverId} exited with code 0`);
        await cluster.restartBackend(backend);
        await cluster.waitForServers(backend.serverId.split('-node')[0]!, cluster.nodes.length);
      }
    });
    assertInvariants(t2, cluster, sent);
    const lookups = countOutcomes(sent.filter((one) => one.isIdempotent));
    t2.strictSame(Object.keys(lookups), [RequestOutcome.Answered], JSON.stringify(lookups));
    const late = cluster
      .readExecutions()
      .filter((record) => record.event === ExecutionEvent.Start)
      .filter((record) => (record.drainingForMs ?? 0) > DRAIN_LIMIT_MS);
    t2.strictSame(
      late.slice(0, 3),
      [],
      'no request starts at a server that has been draining for over 2 s',
    );
  });

  await t.test('SIGTERM stops a node without interrupting requests in flight', async (t2) => {
    const [node] = cluster.nodes;
    const headers = { 'x-service-ms': '1500' };
    const sent = await sendDuring(
      cluster,
      async () => {
        await waitFor('slow requests in flight', async () => {
          const starts = cluster.readExecutions().filter((one) => one.path === '/stock/slow');
          return starts.length > 5;
        });
        t2.equal(await node!.process.terminate(), 0);
      },
      {
        entries: [node!],
        ratePerSecond: 20,
        describeRequest: () => ({ ...LOOKUP, path: '/stock/slow', headers }),
      },
    );
    const outcomes = countOutcomes(sent);
    t2.comment(JSON.stringify(outcomes));
    const allowed: string[] = [
      RequestOutcome.Answered,
      RequestOutcome.NotRun,
      RequestOutcome.ConnectionError,
    ];
    t2.strictSame(
      Object.keys(outcomes).filter((outcome) => !allowed.includes(outcome)),
      [],
    );
    const executed = new Set(cluster.readExecutions().map((record) => record.requestId));
    const interrupted = sent.filter(
      (one) => executed.has(one.requestId) && one.outcome !== RequestOutcome.Answered,
    );
    t2.strictSame(interrupted.slice(0, 3), [], 'every executed request was answered');
    node!.process.start();
  });
});
