import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import { TrafficReportSchema } from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import { TrafficReportTable } from './index.js';

import type { TrafficReport } from '../../../_generated/foxtailvane/v1/distribution_pb.js';

const NOW_MS = 1_000;
const ORIGIN = { memberId: 'control-1' };

const buildReport = (
  sequence: number,
  offered: Record<string, number>,
  incarnation = 1n,
): TrafficReport =>
  create(TrafficReportSchema, {
    nodeId: 'node-1',
    incarnation,
    sequence,
    usage: Object.entries(offered).map(([workspace, count]) => ({
      workspace,
      offered: BigInt(count),
    })),
  });

const readOffered = (report: Pick<TrafficReport, 'usage'> | undefined): Record<string, number> =>
  Object.fromEntries(report?.usage.map((entry) => [entry.workspace, Number(entry.offered)]) ?? []);

// Guards against counts that fall when a report arrives late by way of the former control VM.
tap.test('an older report changes nothing, and a newer one only the entries that it has', (t) => {
  const table = new TrafficReportTable();
  t.ok(table.merge(buildReport(1, { reed: 1, sedge: 2 }), ORIGIN, NOW_MS));
  t.ok(table.merge(buildReport(3, { reed: 5 }), { memberId: 'control-2' }, NOW_MS));
  t.notOk(table.merge(buildReport(2, { reed: 3 }), ORIGIN, NOW_MS));
  t.notOk(table.merge(buildReport(3, { reed: 9 }), ORIGIN, NOW_MS));
  const [node] = table.list();
  t.strictSame(readOffered(node as never), { reed: 5, sedge: 2 });
  t.match(node, { memberId: 'control-2', sequence: 3 });
  t.end();
});

// Guards against counts of a former process that are added to those of the restarted one.
tap.test('a restarted node starts anew', (t) => {
  const table = new TrafficReportTable();
  table.merge(buildReport(7, { reed: 70, sedge: 7 }), ORIGIN, NOW_MS);
  t.ok(table.merge(buildReport(1, { reed: 1 }, 2n), ORIGIN, NOW_MS));
  t.notOk(table.merge(buildReport(8, { reed: 71 }), ORIGIN, NOW_MS));
  t.strictSame(readOffered(table.list()[0] as never), { reed: 1 });
  t.strictSame(
    readOffered(table.collectSince('node-1', { incarnation: 1n, sequence: 7 })),
    { reed: 1 },
    'a follower that knows the former process gets everything',
  );
  t.end();
});

// Guards against a follower that misses a change because several reports were sent to it as one.
tap.test('a report for a follower has all that changed since the one before', (t) => {
  const table = new TrafficReportTable();
  table.merge(buildReport(1, { reed: 1, sedge: 1 }), ORIGIN, NOW_MS);
  const first = table.collectSince('node-1', undefined);
  t.strictSame(readOffered(first), { reed: 1, sedge: 1 });
  t.equal(table.collectSince('node-1', first), undefined);
  table.merge(buildReport(2, { reed: 2 }), ORIGIN, NOW_MS);
  table.merge(buildReport(3, { rush: 1 }), ORIGIN, NOW_MS);
  t.strictSame(readOffered(table.collectSince('node-1', first)), { reed: 2, rush: 1 });
  t.end();
});

// Guards against a table that grows with every node that was ever attached.
tap.test('a node that has left expires, an attached one that is quiet does not', (t) => {
  const table = new TrafficReportTable();
  table.merge(buildReport(1, { reed: 1 }), ORIGIN, NOW_MS);
  table.renew('node-1', NOW_MS + 599_000);
  table.expire(NOW_MS + 1_198_999);
  t.equal(table.list().length, 1);
  table.expire(NOW_MS + 1_199_000);
  t.equal(table.list().length, 0);
  t.end();
});

// Guards against copies of all counts of all nodes in each computation of shares.
tap.test('counts are listed anew only after a report', (t) => {
  const table = new TrafficReportTable();
  table.merge(buildReport(1, { reed: 1 }), ORIGIN, NOW_MS);
  const [first] = table.list();
  table.renew('node-1', NOW_MS + 250);
  t.equal(table.list()[0]?.usage, first?.usage, 'the same list without a report');
  t.equal(table.list()[0]?.seenAtMs, NOW_MS + 250);
  table.merge(buildReport(2, { sedge: 1 }), ORIGIN, NOW_MS + 500);
  t.strictSame(readOffered(table.list()[0] as never), { reed: 1, sedge: 1 });
  t.end();
});
