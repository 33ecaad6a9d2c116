/** An operator takes the last tenant away: its key, and keys that nobody ever held, must run nothing. */
import { setTimeout as delay } from 'node:timers/promises';

import { callControl, sendAttempt } from '../stand-ins-2/platform.js';
import {
  applyConfiguration,
  createDeployment,
  waitUntilServing,
} from '../stand-ins-2/Deployment.js';
import { hasTrouble, runCase } from '../stand-ins-2/runCase.js';

const SERVICE = 'desk';
const NODE_COUNT = 6;
const REVOKE_MS = 5_000;
const CHECK_MS = 3_000;
const GAP_MS = 500;
const HELD_KEY = 'key-of-oak-71c0';
const OTHER_KEY = 'key-of-nobody-9e12';
const FORGED_NAME = 'elm';

const ROUTE = {
  ...{ host: 'shop.example', route_class: 'safe', priority: 1, service: SERVICE },
  ...{ timeout: '2s', target_latency: '500ms', max_attempts: 2 },
};

const createDocument = (version, baseVersion, tenants) => ({
  ...{ version: `r${version}`, base_version: `r${baseVersion}` },
  routes: [
    { ...ROUTE, name: 'lookups', path_prefix: '/desk/' },
    { ...ROUTE, name: 'open', path_prefix: '/open/', auth_exempt: true },
  ],
  services: [{ name: SERVICE, health_path: '/health', max_connections: 600 }],
  tenants,
});

/** Sends a lookup with a key, and a name of a tenant that only the system may set. */
const sendWithKey = (node, key, path) =>
  sendAttempt(node.address('outbound'), {
    path,
    headers: { authorization: `Token ${key}`, 'tenant-id': FORGED_NAME },
  });

await runCase(import.meta.url, async (record, cleanups) => {
  const cluster = await createDeployment({
    nodeCount: NODE_COUNT,
    services: [SERVICE],
    contracts: ['tenants'],
    bounds: { strict_revoke: true, revoke: `${REVOKE_MS}ms` },
  });
  cleanups.push(() => cluster.stop());
  await cluster.start();
  await applyConfiguration(cluster, createDocument(1, 0, [{ name: 'oak', api_keys: [HELD_KEY] }]));
  await waitUntilServing(cluster, { path: '/open/1' });
  const [node] = cluster.nodes;
  const before = await Promise.all(
    [HELD_KEY, OTHER_KEY].map((key) => sendWithKey(node, key, '/desk/before')),
  );
  record.add('before the change', { statuses: before.map(({ status }) => status) });

  const tenants = hasTrouble ? [] : [{ name: 'oak', api_keys: [] }];
  const reply = await callControl(
    cluster.controls[0].address('control'),
    'configuration.replace',
    createDocument(3, 1, tenants),
  );
  record.add('change answered', { version: 'r3', tenants, status: reply.status });
  if (reply.status !== 200) return { isBroken: false, summary: `refused with ${reply.status}` };
  await delay(REVOKE_MS + GAP_MS);

  const sent = new Map();
  const endMs = performance.now() + CHECK_MS;
  while (performance.now() < endMs) {
    await Promise.all(
      cluster.nodes.flatMap((entry) =>
        [HELD_KEY, OTHER_KEY].map(async (key) => {
          const path = `/desk/${sent.size}`;
          sent.set(path, key);
          record.add('client sends', { path, key, node: entry.ip });
          const { status } = await sendWithKey(entry, key, path);
          record.add('client got', { path, status });
        }),
      ),
    );
    await delay(GAP_MS);
  }
  const runs = cluster.workers
    .flatMap((worker) => worker.runs)
    .filter(({ path }) => sent.has(path));
  const readHeader = ({ rawHeaders }, name) =>
    rawHeaders[rawHeaders.findIndex((field) => field.toLowerCase() === name) + 1];
  runs.forEach((run) =>
    record.add('run', {
      path: run.path,
      key: sent.get(run.path),
      authorization: run.rawHeaders.some((field) => field.toLowerCase() === 'authorization'),
      tenant: readHeader(run, 'tenant-id'),
    }),
  );
  const countOf = (key) => runs.filter(({ path }) => sent.get(path) === key).length;
  return {
    isBroken: runs.length > 0,
    summary:
      `${countOf(HELD_KEY)} requests with the key that was taken away and ${countOf(OTHER_KEY)} with a ` +
      `key that no configuration held ran, of ${sent.size} sent more than ${REVOKE_MS} ms after the ` +
      'acknowledgement',
  };
});
