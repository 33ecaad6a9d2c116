/** Roll-outs on replicated logs, while their leader is lost. */
import { create } from '@bufbuild/protobuf';
import tap from 'tap';
import type { Test } from 'tap';

import {
  ControlCluster,
  createChange,
  waitUntil,
} from '../../../../stand-ins/controlCluster/index.js';
import { createOrder } from '../../../../stand-ins/rollouts/index.js';
import { TrafficReportSchema } from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import { RolloutStage } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { Rollout } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import { MetricsRegistry } from '../../metrics/index.js';
import { MemberRole } from '../../replication/ControlLog/index.js';
import readMonotonicNowMs from '../../replication/readMonotonicNowMs/index.js';
import { TrafficReportTable } from '../../trafficReports/TrafficReportTable/index.js';
import { RolloutOutcome } from '../types.js';
import { RolloutController } from './index.js';

const SEED = Number(process.env.SEED ?? 31);
const SERVICE = 'order-desk-0';
const REPORT_MS = 100;
const REQUESTS_PER_REPORT = 100;

interface Bench {
  cluster: ControlCluster;
  controllers: Map<string, RolloutController>;
  /** Part of the target version's requests that fail. */
  failing: number;
}

/** A node that uses the newest roll-outs and reports to all control VMs. */
const startNode = (bench: Bench, tables: TrafficReportTable[]): (() => void) => {
  const counts = { target: 0, failures: 0, others: 0, sequence: 0 };
  const timer = setInterval(() => {
    const sets = [...bench.controllers.keys()].map((id) => bench.cluster.log(id).rollouts());
    const newest = sets.toSorted((left, right) => right.revision - left.revision)[0];
    const share = (newest?.rollouts[0]?.sharePermille ?? 0) / 1_000;
    counts.target += REQUESTS_PER_REPORT * share;
    counts.failures += REQUESTS_PER_REPORT * share * bench.failing;
    counts.others += REQUESTS_PER_REPORT * (1 - share);
    counts.sequence += 1;
    const evidence = [
      { softwareVersion: 'v2', requests: counts.target, failures: counts.failures },
      { softwareVersion: 'v1', requests: counts.others, failures: 0 },
    ].map(({ softwareVersion, requests, failures }) => ({
      service: SERVICE,
      softwareVersion,
      route: 'orders',
      requests: BigInt(Math.floor(requests)),
      failures: BigInt(Math.floor(failures)),
      durationCounts: [0, 0, 0, 0, 0, 0, Math.floor(requests - failures)],
    }));
    const { sequence } = counts;
    const rolloutRevision = newest?.revision ?? 0;
    const fields = { nodeId: 'n1', incarnation: 1n, sequence, rolloutRevision, evidence };
    const report = create(TrafficReportSchema, fields);
    tables.forEach((table) => table.merge(report, { memberId: 'c1' }, readMonotonicNowMs()));
  }, REPORT_MS);
  return () => clearInterval(timer);
};

const startBench = async (t: Test): Promise<Bench> => {
  t.comment(`seed ${SEED}`);
  const cluster = await ControlCluster.start({ seed: SEED, memberCount: 3 });
  const bench: Bench = { cluster, controllers: new Map(), failing: 0 };
  const tables = cluster.memberIds().map(() => new TrafficReportTable());
  cluster.memberIds().forEach((memberId, index) => {
    const log = cluster.log(memberId);
    const isConfirmed = () => log.isConfirmed(readMonotonicNowMs());
    const controller = new RolloutController({
      log,
      limits: { exposedShare: 0.1, exposedSlack: 50, rollbackMs: 5_000 },
      reports: tables[index] ?? new TrafficReportTable(),
      listNodeIds: () => ['n1'],
      countServers: () => 2,
      isConfirmed,
      isLeading: () => log.role === MemberRole.Leader && isConfirmed(),
      metrics: new MetricsRegistry(),
      readNowMs: readMonotonicNowMs,
      readWallMs: Date.now,
    });
    controller.start();
    bench.controllers.set(memberId, controller);
  });
  const stopNode = startNode(bench, tables);
  t.teardown(async () => {
    stopNode();
    bench.controllers.forEach((controller) => controller.stop());
    await cluster.close();
  });
  await cluster.log('c1').propose(createChange(1, 20), Date.now());
  const order = createOrder({ service: SERVICE, durationMs: 14_000 });
  const { outcome } = await cluster.log('c1').proposeRollout(order, Date.now());
  t.equal(outcome, RolloutOutcome.Accepted);
  return bench;
};

const findRollout = ({ cluster, controllers }: Bench): Rollout | undefined => {
  const [memberId = ''] = controllers.keys();
  return cluster.log(memberId).rolloutBook.find(1);
};

/** Kills the leader once the version has a share. */
const loseLeader = async (bench: Bench): Promise<void> => {
  await waitUntil(() => (findRollout(bench)?.sharePermille ?? 0) > 0, 'the version has a share');
  const leader = await bench.cluster.waitForLeader();
  bench.controllers.get(leader)?.stop();
  bench.controllers.delete(leader);
  await bench.cluster.stopMember(leader);
};

// Guards against a roll-out that nobody goes on with, or that begins anew and misses its deadline.
tap.test('a good version is completed in time although its leader is lost', async (t) => {
  const orderedAtMs = performance.now();
  const bench = await startBench(t);
  await loseLeader(bench);
  await waitUntil(
    () => findRollout(bench)?.stage === RolloutStage.COMPLETED,
    'the roll-out is completed',
  );
  t.ok(performance.now() - orderedAtMs < 14_000 + 2_000, 'within the duration and the start');
});

// Guards against a bad version that keeps its share while the control VMs elect.
tap.test('a version that turns bad as its leader is lost is taken back', async (t) => {
  const bench = await startBench(t);
  await loseLeader(bench);
  bench.failing = 0.5;
  const turnedBadAtMs = performance.now();
  await waitUntil(
    () => findRollout(bench)?.stage === RolloutStage.ROLLED_BACK,
    'the version is taken back',
  );
  const tookMs = Math.round(performance.now() - turnedBadAtMs);
  t.comment(findRollout(bench)?.reason ?? '');
  t.ok(tookMs < 5_000, `within 5 s, election included: ${tookMs} ms`);
});
