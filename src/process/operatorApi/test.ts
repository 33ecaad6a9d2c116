import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import type { ControlLog } from '../replication/ControlLog/index.js';
import type { OperatorApiOptions } from './index.js';
import {
  NodeRecordSchema,
  ServerSchema,
  ServerState,
} from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import { MAX_SHEET_BYTES, SheetColumn } from '../../version/parseSheet/index.js';
import { FAKE_HOLDER, FakeControlLog } from '../../../stand-ins/FakeControlLog/index.js';
import { LogLevel, setLogLevel } from '../log/index.js';
import { MetricsRegistry } from '../metrics/index.js';
import { ApplyOutcome } from '../replication/ControlLog/index.js';
import { RequestExecution, createOperatorApi } from './index.js';

setLogLevel(LogLevel.Error);

const TOKEN = 'a secret of the operators';
const NOW_MS = 1_000_000;
const SHEET = `${Object.values(SheetColumn).join(',')}\nservice,order-desk,,,,,,,500,,20,130\n`;

const createApp = (log: ControlLog, options: Partial<OperatorApiOptions> = {}) =>
  createOperatorApi({
    log,
    readNodes: () => Promise.resolve([]),
    listNodeRecords: () => [],
    metrics: new MetricsRegistry(),
    token: TOKEN,
    nowMs: () => NOW_MS,
    ...options,
  });

const AUTHORIZED = { authorization: `Bearer ${TOKEN}` };

const post = (
  app: ReturnType<typeof createApp>,
  number: string,
  body: string,
  headers: Record<string, string> = {},
) =>
  app.request(`/v1/versions/${number}`, {
    method: 'POST',
    headers: { ...AUTHORIZED, 'foxtailvane-request-id': 'r-1', ...headers },
    body,
  });

tap.test('each outcome maps to an HTTP status and to whether the request ran', async (t) => {
  const expected = [
    { outcome: ApplyOutcome.Accepted, status: 200, ran: RequestExecution.Executed },
    { outcome: ApplyOutcome.AlreadyAccepted, status: 200, ran: RequestExecution.Executed },
    { outcome: ApplyOutcome.Conflict, status: 409, ran: RequestExecution.NotExecuted },
    { outcome: ApplyOutcome.Stale, status: 409, ran: RequestExecution.NotExecuted },
    { outcome: ApplyOutcome.Unavailable, status: 503, ran: RequestExecution.NotExecuted },
    { outcome: ApplyOutcome.Unknown, status: 504, ran: RequestExecution.Unknown },
  ];
  await Promise.all(
    expected.map(async ({ outcome, status, ran }) => {
      const log = new FakeControlLog();
      log.result = { outcome, message: 'a message', holder: FAKE_HOLDER };
      const response = await post(createApp(log), '5', SHEET);
      t.equal(response.status, status, outcome);
      t.match(await response.json(), { outcome, ran, requestId: 'r-1', holder: FAKE_HOLDER });
    }),
  );
});

tap.test(
  'the proposed change carries version, request id, operator and content hash',
  async (t) => {
    const log = new FakeControlLog();
    await post(createApp(log), '5', SHEET, { 'foxtailvane-operator': 'ada' });
    t.match(log.changes, [{ requestId: 'r-1', operator: 'ada', configuration: { version: 5 } }]);
    t.equal(log.changes[0]?.configuration.contentHash.length, 32);
  },
);

tap.test(
  'an exception while proposing gives UNKNOWN, because the version may be accepted',
  async (t) => {
    const log = new FakeControlLog();
    log.result = new Error('the disk is gone');
    setLogLevel(LogLevel.Error + 1);
    const response = await post(createApp(log), '5', SHEET);
    setLogLevel(LogLevel.Error);
    t.equal(response.status, 504);
    t.match(await response.json(), {
      outcome: ApplyOutcome.Unknown,
      ran: RequestExecution.Unknown,
    });
  },
);

tap.test('an invalid sheet returns every fault and is not proposed', async (t) => {
  const log = new FakeControlLog();
  const response = await post(createApp(log), '5', SHEET.replace('500', '0').replace(',20', ',x'));
  t.equal(response.status, 422);
  t.match(await response.json(), {
    outcome: ApplyOutcome.Invalid,
    ran: RequestExecution.NotExecuted,
    faults: [
      { row: 2, column: 'timeout_ms' },
      { row: 2, column: 'slots' },
    ],
  });
  t.equal(log.changes.length, 0);
});

tap.test(
  'a bad version, a missing request id or an oversized body is rejected without running',
  async (t) => {
    const log = new FakeControlLog();
    const app = createApp(log);
    const responses = await Promise.all([
      post(app, '0', SHEET),
      post(app, '4294967296', SHEET),
      post(app, 'x', SHEET),
      post(app, '5', SHEET, { 'foxtailvane-request-id': '' }),
      post(app, '5', 'x'.repeat(MAX_SHEET_BYTES + 1)),
    ]);
    t.strictSame(
      responses.map(({ status }) => status),
      [400, 400, 400, 400, 413],
    );
    t.match(await responses[4]?.json(), { ran: RequestExecution.NotExecuted });
    t.equal(log.changes.length, 0);
  },
);

tap.test('every endpoint except the health check requires the token', async (t) => {
  const log = new FakeControlLog();
  const app = createApp(log);
  const offered = ['', 'Bearer', 'Bearer ', `Bearer ${TOKEN}x`, `Basic ${TOKEN}`, TOKEN];
  const responses = await Promise.all(
    offered.flatMap((authorization) =>
      ['/v1/status', '/metrics', '/v1/configuration', '/absent'].map((path) =>
        app.request(path, { headers: { authorization } }),
      ),
    ),
  );
  t.ok(responses.every(({ status }) => status === 401));
  const refused = await post(app, '5', SHEET, { authorization: 'Bearer wrong' });
  t.equal(refused.status, 401);
  t.notMatch(await refused.text(), TOKEN);
  t.equal(log.changes.length, 0);
  t.equal((await app.request('/healthz')).status, 200);
});

tap.test('an empty configured token rejects every request', async (t) => {
  const app = createApp(new FakeControlLog(), { token: '' });
  const response = await app.request('/v1/status', { headers: { authorization: 'Bearer ' } });
  t.equal(response.status, 401);
});

tap.test('a client above its rate is rejected until its bucket refills', async (t) => {
  let nowMs = NOW_MS;
  const app = createApp(new FakeControlLog(), {
    rateLimit: { requestsPerSecond: 1, burst: 2 },
    nowMs: () => nowMs,
  });
  const read = async () => (await app.request('/v1/history', { headers: AUTHORIZED })).status;
  t.strictSame([await read(), await read(), await read()], [200, 200, 429]);
  nowMs += 1_000;
  t.equal(await read(), 200);
});

tap.test('status reports convergence and unreachable control VMs', async (t) => {
  const node = (nodeId: string, version: number, inForceAtMs: number, isConnected = true) => ({
    nodeId,
    dataCentre: 'dc-east',
    version,
    inForceAtMs,
    isConnected,
  });
  const read = async (nodes: ReturnType<typeof node>[]) => {
    const app = createApp(new FakeControlLog(), { readNodes: () => Promise.resolve(nodes) });
    return (await app.request('/v1/status', { headers: AUTHORIZED })).json();
  };
  const first = node('n1', 4, FAKE_HOLDER.acceptedAtMs + 120);
  t.match(await read([first, node('n2', 3, 5), node('n3', 4, 7, false)]), {
    accepted: { version: 4 },
    leader: 'control-1',
    unreachableMembers: ['control-2'],
    nodes: {
      total: 3,
      connected: 2,
      atAccepted: 2,
      versions: [
        { version: 4, nodes: 2 },
        { version: 3, nodes: 1 },
      ],
      disconnected: ['n3'],
    },
    convergence: { isComplete: false, convergenceMs: undefined },
  });
  t.match(await read([first, node('n2', 4, FAKE_HOLDER.acceptedAtMs + 340)]), {
    convergence: { isComplete: true, convergenceMs: 340 },
  });
});

tap.test('servers, history, configuration and metrics are returned', async (t) => {
  const log = new FakeControlLog();
  const metrics = new MetricsRegistry();
  metrics.counter('control_sent_bytes').value = 12;
  const server = create(ServerSchema, {
    serverId: 'desk-1',
    service: 'order-desk',
    state: ServerState.SERVING,
    servingSinceMs: 5n,
  });
  const record = create(NodeRecordSchema, { nodeId: 'n1', incarnation: 3n, servers: [server] });
  const app = createApp(log, { metrics, listNodeRecords: () => [record] });
  const read = (path: string) => app.request(path, { headers: AUTHORIZED });
  t.match(await (await read('/v1/servers')).json(), [
    { serverId: 'desk-1', node: 'n1', state: 'serving' },
  ]);
  t.match(await (await read('/v1/history')).json(), [FAKE_HOLDER]);
  t.match(await (await read('/v1/configuration')).json(), { configuration: { version: 4 } });
  t.match(await (await read('/metrics')).text(), /control_sent_bytes 12/);
  log.holder = undefined;
  t.equal((await read('/v1/configuration')).status, 404);
});

tap.test(
  'membership changes call the given functions and map their outcome to a status',
  async (t) => {
    const calls: unknown[] = [];
    const app = createApp(new FakeControlLog(), {
      addMember: (member) => {
        calls.push(member);
        return Promise.resolve({ ran: RequestExecution.Executed, message: 'added' });
      },
      removeMember: (memberId) => {
        calls.push(memberId);
        return Promise.resolve({ ran: RequestExecution.Unknown, message: 'no answer' });
      },
    });
    const member = { memberId: 'control-4', dataCentre: 'dc-east', address: '127.0.0.1:7430' };
    const change = (path: string, body: unknown) =>
      app.request(`/v1/members/${path}`, {
        method: 'POST',
        headers: AUTHORIZED,
        body: JSON.stringify(body),
      });
    t.equal((await change('add', member)).status, 200);
    t.equal((await change('remove', { memberId: 'control-1' })).status, 504);
    t.equal((await change('add', { memberId: 'control-4' })).status, 400);
    t.equal((await change('remove', [])).status, 400);
    t.strictSame(calls, [member, 'control-1']);
    const without = createApp(new FakeControlLog());
    const response = await without.request('/v1/members/add', {
      method: 'POST',
      headers: AUTHORIZED,
      body: '{}',
    });
    t.equal(response.status, 404);
  },
);
