/** An operator sends a route whose list of shares is empty: the change is acknowledged, and must be in force. */
import { setTimeout as delay } from 'node:timers/promises';

import { callControl, sendAttempt } from '../stand-ins-2/platform.js';
import {
  applyConfiguration,
  createDeployment,
  waitUntilServing,
} from '../stand-ins-2/Deployment.js';
import { hasTrouble, runCase } from '../stand-ins-2/runCase.js';

const SERVICES = ['desk', 'ledger'];
const NODE_COUNT = 6;
/** Time after the acknowledgement from which on a change must be in force. */
const CONFIG_MS = 2_000;
/** Requests are sent at each node for so long after that. */
const CHECK_MS = 4_000;
const GAP_MS = 500;

const createRoute = (name, pathPrefix, target) => ({
  ...{ name, host: 'shop.example', path_prefix: pathPrefix, route_class: 'safe', priority: 1 },
  ...{ timeout: '2s', target_latency: '500ms', max_attempts: 2 },
  ...target,
});

const createDocument = (version, baseVersion, routes) => ({
  ...{ version: `r${version}`, base_version: `r${baseVersion}`, routes },
  services: SERVICES.map((name) => ({ name, health_path: '/health', max_connections: 600 })),
});

await runCase(import.meta.url, async (record, cleanups) => {
  const cluster = await createDeployment({ nodeCount: NODE_COUNT, services: SERVICES });
  cleanups.push(() => cluster.stop());
  await cluster.start();
  const first = createDocument(1, 0, [createRoute('stock', '/stock/', { service: 'desk' })]);
  await applyConfiguration(cluster, first);
  await waitUntilServing(cluster, { path: '/stock/ready' });
  await delay(3_000);

  const shares = hasTrouble ? { traffic_split: [] } : {};
  const second = createDocument(4, 1, [
    createRoute('stock', '/stock/', { service: 'ledger' }),
    createRoute('grades', '/grades/', { service: 'ledger', ...shares }),
  ]);
  const reply = await callControl(
    cluster.controls[0].address('control'),
    'configuration.replace',
    second,
  );
  record.add('change answered', { version: 'r4', status: reply.status, hasTrouble });
  if (reply.status !== 200) return { isBroken: false, summary: `refused with ${reply.status}` };
  await delay(CONFIG_MS);

  const services = new Map(cluster.workers.map((worker, index) => [worker, SERVICES[index % 2]]));
  const sent = [];
  const endMs = performance.now() + CHECK_MS;
  while (performance.now() < endMs) {
    await Promise.all(
      cluster.nodes.map(async (node) => {
        const path = `/stock/${sent.length}`;
        sent.push(path);
        record.add('client sends', { path, node: node.ip });
        const { status } = await sendAttempt(node.address('outbound'), { path });
        record.add('client got', { path, status });
      }),
    );
    await delay(GAP_MS);
  }
  const read = await callControl(cluster.controls[1].address('control'), 'configuration.read');
  const readVersion = JSON.parse(read.body).version;
  record.add('configuration read', { status: read.status, version: readVersion });
  const runs = [...services].flatMap(([worker, service]) =>
    worker.runs.filter(({ path }) => sent.includes(path)).map(({ path }) => ({ path, service })),
  );
  runs.forEach((run) => record.add('run', run));
  const old = runs.filter(({ service }) => service === 'desk');
  return {
    isBroken: old.length > 0,
    summary:
      `${old.length} of ${sent.length} requests, sent more than ${CONFIG_MS} ms after the ` +
      `acknowledgement, were run by the old service; the configuration reads ${readVersion}`,
  };
});
