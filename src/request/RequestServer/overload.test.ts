import { setTimeout as delay } from 'node:timers/promises';

import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import { TestMesh, compileForTest, createRoute, send } from '../../../test/requestMesh/index.js';
import { ServiceSchema } from '../../_generated/foxtailvane/v1/configuration_pb.js';

/** Far above the latency of a lookup even on a stalled machine, so that surveys count as slow. */
const SURVEY_MS = 1_000;

tap.test('lookups and orders are served while slow surveys compete for every slot', async (t) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  mesh.configuration = compileForTest(
    [
      createRoute({ name: 'lookups', pathPrefix: '/lookups' }),
      createRoute({ name: 'surveys', pathPrefix: '/surveys', timeoutMs: 10_000, maxAttempts: 1 }),
      createRoute({
        name: 'orders',
        pathPrefix: '/orders',
        methods: ['POST'],
        idempotent: false,
        maxAttempts: 1,
      }),
    ],
    [create(ServiceSchema, { name: 'desk', timeoutMs: 20_000 })],
  );
  const entry = await mesh.startNode('entry');
  const owner = await mesh.startNode('owner');
  const seen = { active: 0, most: 0 };
  await mesh.startBackend(
    owner,
    (request, response) => {
      seen.active += 1;
      seen.most = Math.max(seen.most, seen.active);
      const serviceMs = request.url?.startsWith('/surveys') ? SURVEY_MS : 1;
      setTimeout(() => {
        seen.active -= 1;
        response.end();
      }, serviceMs);
    },
    { slots: 6 },
  );
  const survey = () => send(entry.address, { path: '/surveys' });
  const lookup = () => send(entry.address, { path: '/lookups' });
  const order = () => send(entry.address, { path: '/orders', method: 'POST', body: 'bundle' });
  // Warm-up: the node measures which routes are slow. Without slots reserved for quick requests, each
  // of them would wait at least for the end of a survey.
  await Promise.all(Array.from({ length: 6 }, () => Promise.all([survey(), lookup()])));
  let isOver = false;
  const surveyStatuses: number[] = [];
  const floods = Array.from({ length: 30 }, async () => {
    while (!isOver) surveyStatuses.push((await survey()).status);
  });
  await delay(100);
  const statuses = new Set<number>();
  const startedAtMs = performance.now();
  for (let index = 0; index < 50; index += 1) {
    statuses.add((await lookup()).status);
    statuses.add((await order()).status);
  }
  const meanMs = (performance.now() - startedAtMs) / 100;
  isOver = true;
  await Promise.all(floods);
  t.strictSame(statuses, new Set([200]));
  t.ok(meanMs < SURVEY_MS, `${meanMs} ms for a quick request during surveys of ${SURVEY_MS} ms`);
  t.ok(seen.most <= 6, `${seen.most} at once`);
  t.ok(surveyStatuses.includes(200), 'surveys are not starved');
});
