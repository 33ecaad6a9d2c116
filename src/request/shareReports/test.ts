import tap from 'tap';

import { create } from '@bufbuild/protobuf';
import { NodeRecordSchema, ServerSchema } from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import {
  ExpectedCostPolicy,
  RouteCosts,
  ServerWork,
  SlotGate,
} from '../../process/localServers/index.js';
import { ServerObservations, getReportedWaitMs } from '../observeServers/index.js';
import { ReportExchange, formatAnswerReport, parseAnswerReport } from './index.js';

import type { LocalServer } from '../../process/localServers/index.js';

const NOW_MS = 50_000;
const SLOTS = 2;

/** Creates a server beside a node, with requests in progress and waiting. */
const createLocal = (nodeId: string, requests: number): LocalServer => {
  const work = new ServerWork(new RouteCosts());
  const gate = new SlotGate({ slots: SLOTS, policy: new ExpectedCostPolicy(), work });
  Array.from({ length: requests }).forEach((_, priority) =>
    gate.admit(
      { deadlineMs: NOW_MS + 9_000, isRetry: false, isSlow: false, priority },
      NOW_MS,
      () => undefined,
    ),
  );
  const server = create(ServerSchema, { serverId: `s ${nodeId}`, service: 'board', slots: SLOTS });
  return { server, gate, hint: undefined, unreachableUntilMs: 0 } as LocalServer;
};

const createExchange = (nodeId: string, requests: number) => {
  const local = createLocal(nodeId, requests);
  const record = create(NodeRecordSchema, { nodeId, servers: [local.server] });
  const observations = new ServerObservations();
  const exchange = new ReportExchange(observations, { list: () => [local], record: () => record });
  return { exchange, observations, local };
};

// Guards against nodes that choose servers by reports of seconds ago.
tap.test('reports reach a node that never sent the server a request', async (t) => {
  const far = createExchange('far', 4);
  const middle = createExchange('middle', 0);
  const near = createExchange('near', 0);
  middle.exchange.absorb(far.exchange.format(NOW_MS), NOW_MS + 10);
  near.exchange.absorb(middle.exchange.format(NOW_MS + 50), NOW_MS + 60);
  const { work } = near.observations.get('far/s far', NOW_MS + 60);
  t.equal(work?.load, 2);
  t.equal(work?.atMs, NOW_MS + 20, 'the age is that of the first report');
  const [urgentMs = 0, , lastMs = 0] = work?.waitsMs ?? [];
  t.ok(urgentMs > 0 && lastMs > urgentMs, 'waits by priority');
  near.exchange.absorb(far.exchange.format(NOW_MS), NOW_MS - 100);
  t.equal(near.observations.get('far/s far', NOW_MS).work, work, 'an older report is left out');
});

// Guards against waits of urgent workspaces that are taken for those of all.
tap.test('a request waits as long as those of its workspace and more urgent ones', async (t) => {
  const { local } = createExchange('near', 0);
  [0, 0, 10, 11, 21, 21].forEach((priority) =>
    local.gate.admit(
      { deadlineMs: NOW_MS + 9_000, isRetry: false, isSlow: false, priority },
      NOW_MS,
      () => undefined,
    ),
  );
  const text = formatAnswerReport(local, { heldMs: 0, meanMs: 0, isCall: false }, NOW_MS);
  const { report } = parseAnswerReport(text, NOW_MS) ?? {};
  if (!report) throw new Error(`malformed: ${text}`);
  const waits = [0, 10, 11, 22, 99].map((priority) => getReportedWaitMs(report, priority));
  t.strictSame(
    waits,
    waits.toSorted((left, right) => left - right),
  );
  t.ok((waits[3] ?? 0) > (waits[2] ?? 0) && (waits[2] ?? 0) > (waits[0] ?? 0), waits.join());
});

// Guards against a malformed header that ends the request or is taken for an idle server.
tap.test('malformed reports are left out', async (t) => {
  const { exchange, observations } = createExchange('near', 0);
  ['', '~', 'a/b~1.00', 'a/b~x~0~1.00~5', '%E0%A4~1.00~0~1.00~5', 'a/b~1.00~-1~1.00~5'].forEach(
    (text) => exchange.absorb(text, NOW_MS),
  );
  t.equal(observations.get('a/b', NOW_MS).work, undefined);
  t.equal(parseAnswerReport('1.00;220', NOW_MS), undefined);
});

tap.test('the report of an answer round-trips', async (t) => {
  const { local } = createExchange('near', 1);
  const text = formatAnswerReport(local, { heldMs: 220.4, meanMs: 180, isCall: true }, NOW_MS);
  const report = { load: 0.5, waitsMs: [0], pace: 0, atMs: NOW_MS };
  t.strictSame(parseAnswerReport(text, NOW_MS), { report, heldMs: 220, meanMs: 180, isCall: true });
});
