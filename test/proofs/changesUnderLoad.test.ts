/** Configuration changes under load drop, duplicate or misroute no request. */
import tap from 'tap';

import { ExecutionEvent } from '../../stand-ins/backendServer/index.js';
import { createSheet } from '../../stand-ins/createSheet/index.js';
import { RequestOutcome } from '../../stand-ins/recordingClient/index.js';
import { countOutcomes } from '../../stand-ins/verifyOutcomes/index.js';
import {
  assertInvariants,
  reportUnservedRequests,
  chooseCount,
  sendDuring,
  startCluster,
  startDeskServers,
  waitUntilAnswered,
} from '../_lib/proof.js';

import type { RequestSpec } from '../../stand-ins/recordingClient/index.js';

const CHANGES = chooseCount(10, 50);
const FIRST_VERSION = 2;

/** Even versions route /flip to the order desk, odd ones to the ledger; even ones have /extra. */
const createChange = (version: number): string => {
  const isEven = version % 2 === 0;
  const extra = isEven ? [{ name: 'extra-service' }] : [];
  return createSheet(
    [{ name: 'order-desk' }, { name: 'harvest-ledger' }, ...extra],
    [
      { name: 'stock', pathPrefix: '/stock', targets: { 'order-desk': 100 } },
      {
        name: 'orders',
        pathPrefix: '/orders',
        methods: ['POST'],
        targets: { 'order-desk': 100 },
        isIdempotent: false,
      },
      {
        name: 'flip',
        pathPrefix: '/flip',
        targets: { [isEven ? 'order-desk' : 'harvest-ledger']: 100 },
      },
      ...(isEven
        ? [{ name: 'extra', pathPrefix: '/extra', targets: { 'extra-service': 100 } }]
        : []),
    ],
  );
};

const ALLOWED_SERVICES: Record<string, string[]> = {
  '/stock': ['order-desk'],
  '/orders': ['order-desk'],
  '/flip': ['order-desk', 'harvest-ledger'],
  '/extra': ['extra-service'],
};

const PATHS = Object.keys(ALLOWED_SERVICES);

const describeRequest = (index: number): RequestSpec => {
  const path = PATHS[index % PATHS.length]!;
  return path === '/orders'
    ? { method: 'POST', path, body: `bundle ${index}`, isIdempotent: false }
    : { method: 'GET', path, isIdempotent: true };
};

tap.test('configuration changes under load drop, duplicate or misroute no request', async (t) => {
  const cluster = await startCluster(t, { nodesPerDataCentre: 1 });
  await startDeskServers(cluster, { flags: ['--service-ms', '10'] });
  await cluster.startBackend(cluster.nodes[0]!, { serverId: 'extra', service: 'extra-service' });
  await cluster.applyUntilAccepted(FIRST_VERSION, createChange(FIRST_VERSION));
  await cluster.waitForVersion(FIRST_VERSION);
  await cluster.waitForServers('extra-service', 1);
  await waitUntilAnswered(cluster.nodes, { paths: PATHS.filter((path) => path !== '/orders') });
  const sent = await sendDuring(
    cluster,
    async () => {
      for (let change = 1; change <= CHANGES; change += 1) {
        const version = FIRST_VERSION + change;
        const answer = await cluster.apply(version, createChange(version));
        t.equal(answer.outcome, 'ACCEPTED', `version ${version}`);
        await cluster.waitForVersion(version);
      }
    },
    { describeRequest },
  );
  assertInvariants(t, cluster, sent);
  reportUnservedRequests(t, cluster);
  const requestsById = new Map(sent.map((one) => [one.requestId, one]));
  const records = cluster
    .readExecutions()
    .filter(
      (record) => record.event === ExecutionEvent.Start && requestsById.has(record.requestId),
    );
  const misrouted = records.filter(
    (record) => !ALLOWED_SERVICES[record.path]?.includes(record.service),
  );
  t.strictSame(
    misrouted.slice(0, 3),
    [],
    'no request reached a service that its route never targets',
  );
  // Filters by the path that was sent, because request numbers do not follow the scheduled order.
  const stable = sent.filter(({ path }) => path !== '/extra');
  t.ok(stable.length < sent.length && stable.every(({ path }) => path !== undefined));
  const outcomes = countOutcomes(stable);
  t.strictSame(Object.keys(outcomes), [RequestOutcome.Answered], JSON.stringify(outcomes));
  const extra = countOutcomes(sent.filter((one) => !stable.includes(one)));
  t.ok((extra[RequestOutcome.NotRun] ?? 0) > 0, 'the removed route was refused');
  t.equal(extra[RequestOutcome.Unknown] ?? 0, 0);
});
