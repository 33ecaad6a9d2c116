import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import { TrafficReportSchema } from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import { TrafficReportTable } from '../../trafficReports/TrafficReportTable/index.js';
import { EvidenceTracker } from './index.js';

const createTable = () => {
  const table = new TrafficReportTable();
  let sequence = 0;
  const report = (nodeId: string, incarnation: bigint, requests: number): void => {
    sequence += 1;
    const evidence = [
      { service: 'desk', softwareVersion: 'v2', route: 'orders', requests: BigInt(requests) },
    ].map((entry) => ({ ...entry, failures: 1n, durationCounts: [0, requests - 1] }));
    const fields = { nodeId, incarnation, sequence, evidence };
    table.merge(create(TrafficReportSchema, fields), { memberId: 'c1' }, sequence);
  };
  return { table, report };
};

const sumRequests = (tracker: EvidenceTracker, isLearning = false): number =>
  tracker.collect(isLearning).reduce((sum, { requests }) => sum + requests, 0);

// Guards against counting the evidence of an earlier roll-out, or that of a process twice.
tap.test('only what nodes have counted since the start is returned, once', async (t) => {
  const { table, report } = createTable();
  report('n1', 1n, 40);
  const tracker = new EvidenceTracker(table);
  tracker.start();
  t.equal(sumRequests(tracker), 0, 'counts before the start');
  report('n1', 1n, 42);
  report('n2', 1n, 3);
  t.equal(sumRequests(tracker), 5);
  t.equal(sumRequests(tracker), 0, 'nothing new');
  report('n1', 2n, 4);
  t.equal(sumRequests(tracker), 4, 'a node that restarted counts from zero');
  report('n1', 2n, 6);
  t.match(tracker.collect(false), [{ requests: 2, failures: 0, durationCounts: [0, 2] }]);
});

// Guards against a control VM that takes all that nodes have ever counted for new after its restart.
tap.test('the first counts of a node are its base after a start', async (t) => {
  const { table, report } = createTable();
  const tracker = new EvidenceTracker(table);
  tracker.start();
  report('n1', 1n, 900);
  t.equal(sumRequests(tracker, true), 0);
  report('n1', 1n, 905);
  t.equal(sumRequests(tracker, true), 5);
  tracker.stop();
  report('n1', 1n, 990);
  tracker.start();
  report('n1', 1n, 991);
  t.equal(sumRequests(tracker), 1);
});
