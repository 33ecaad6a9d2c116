/** A hot tenant while all control processes are killed and restarted: its quota must hold. */
import { setTimeout as delay } from 'node:timers/promises';

import { sendAttempt } from '../stand-ins-2/platform.js';
import {
  applyConfiguration,
  createDeployment,
  waitUntilServing,
} from '../stand-ins-2/Deployment.js';
import { hasTrouble, runCase } from '../stand-ins-2/runCase.js';

const SERVICE = 'desk';
const KEY = 'key-of-oak-71c0';
const NODE_COUNT = 12;
const QUOTA = { ratePerSecond: 15, burst: 15 };
const WINDOW_MS = 5_000;
const OVERAGE = 0.1;
const SLACK = 20;
/** The quota of a tenant is 1.6 times its usual rate. */
const USUAL_PER_SECOND = QUOTA.ratePerSecond / 1.6;
const HOT_FACTOR = 7.5;
const HOT_MS = 6_500;
const USUAL_MS = 6_000;
/** All control processes are back within a second. */
const DOWN_MS = 500;
const BOUND = Math.floor(
  (QUOTA.ratePerSecond * (WINDOW_MS / 1_000) + QUOTA.burst) * (1 + OVERAGE) + SLACK,
);

const createDocument = () => ({
  version: 'r1',
  base_version: 'r0',
  routes: [
    {
      ...{ name: 'lookups', host: 'shop.example', path_prefix: '/desk/', route_class: 'safe' },
      ...{ timeout: '2s', target_latency: '500ms', priority: 1, service: SERVICE, max_attempts: 2 },
    },
    {
      ...{ name: 'open', host: 'shop.example', path_prefix: '/open/', route_class: 'safe' },
      ...{ timeout: '2s', target_latency: '500ms', priority: 1, service: SERVICE, max_attempts: 2 },
      auth_exempt: true,
    },
  ],
  services: [{ name: SERVICE, health_path: '/health', max_connections: 600 }],
  tenants: [
    { name: 'oak', api_keys: [KEY], rate_per_s: QUOTA.ratePerSecond, burst: QUOTA.burst },
    { name: 'elm', api_keys: ['key-of-elm-2280'], rate_per_s: 200, burst: 200 },
  ],
});

/** Largest number of requests that were both sent and run within one window. */
const findMostInWindow = (runs) =>
  runs.reduce((most, { sentAtMs }) => {
    const endMs = sentAtMs + WINDOW_MS;
    const count = runs.filter((run) => run.sentAtMs >= sentAtMs && run.ranAtMs <= endMs).length;
    return Math.max(most, count);
  }, 0);

await runCase(import.meta.url, async (record, cleanups) => {
  const cluster = await createDeployment({
    nodeCount: NODE_COUNT,
    services: [SERVICE],
    contracts: ['tenants', 'quota'],
    bounds: {
      ...{ strict_revoke: true, revoke: '5000ms', quota_window: '5s' },
      ...{ quota_overage: OVERAGE, quota_slack: SLACK },
    },
    findWorkerOptions: () => ({ slots: 18, workMs: 20 }),
  });
  cleanups.push(() => cluster.stop());
  await cluster.start();
  await applyConfiguration(cluster, createDocument());
  await waitUntilServing(cluster, { path: '/open/1' });
  record.add('deployment serves');
  await delay(2_000);

  const sentAtMs = new Map();
  const pending = [];
  let next = 0;
  const send = () => {
    const node = cluster.nodes[next % NODE_COUNT];
    const path = `/desk/${next}`;
    next += 1;
    sentAtMs.set(path, performance.now());
    record.add('sent', { path, node: node.ip });
    const attempt = sendAttempt(node.address('outbound'), {
      path,
      headers: { authorization: `Token ${KEY}` },
    });
    pending.push(
      attempt.then(
        ({ status }) => record.add('answered', { path, status }),
        (error) => record.add('failed', { path, reason: String(error) }),
      ),
    );
  };
  const sendFor = async (durationMs, perSecond) => {
    const startMs = performance.now();
    let sent = 0;
    while (performance.now() - startMs < durationMs) {
      const due = Math.floor(((performance.now() - startMs) * perSecond) / 1_000);
      while (sent <= due) {
        send();
        sent += 1;
      }
      await delay(5);
    }
  };
  const restartControls = async () => {
    record.add('all control processes are killed');
    await Promise.all(cluster.controls.map((control) => control.stop('SIGKILL')));
    await delay(DOWN_MS);
    await Promise.all(cluster.controls.map((control) => control.start({ isFirstStart: false })));
    record.add('all control processes are started again');
  };

  await sendFor(USUAL_MS, USUAL_PER_SECOND);
  const perSecond = USUAL_PER_SECOND * (hasTrouble ? HOT_FACTOR : 1);
  record.add('the tenant sends on', { perSecond });
  await Promise.all([sendFor(HOT_MS, perSecond), hasTrouble ? restartControls() : undefined]);
  await Promise.all(pending);

  const runs = cluster.workers
    .flatMap((worker) => worker.runs)
    .filter(({ path }) => sentAtMs.has(path))
    .map(({ path, atMs }) => ({ path, sentAtMs: sentAtMs.get(path), ranAtMs: atMs }));
  runs.forEach(({ path }) => record.add('run', { path }));
  const most = findMostInWindow(runs);
  return {
    isBroken: most > BOUND,
    summary: `${most} requests of the tenant ran within ${WINDOW_MS} ms; the quota allows ${BOUND}`,
  };
});
