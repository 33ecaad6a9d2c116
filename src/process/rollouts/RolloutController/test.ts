import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import { FakeControlLog } from '../../../../stand-ins/FakeControlLog/index.js';
import { createOrder, createRoutedConfiguration } from '../../../../stand-ins/rollouts/index.js';
import {
  RolloutStage,
  VersionEvidenceSchema,
} from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import { MetricsRegistry } from '../../metrics/index.js';
import type { NodeCounts } from '../EvidenceTracker/index.js';
import { RolloutController } from './index.js';

const TICK_MS = 250;
const START_MS = 100_000;
const NODE_IDS = ['n1', 'n2', 'n3'];
const DURATION_BUCKET = 14;

/** Counts of nodes that follow the committed share, as far as they are connected. */
class FakeNodes {
  readonly #counts = new Map<string, [target: number, failures: number, others: number]>();

  readonly #listeners = new Set<(nodeId: string) => void>();

  readonly #revisions = new Map<string, number>();

  readonly incarnations = new Map(NODE_IDS.map((nodeId) => [nodeId, 1n]));

  /** Adds requests of one interval at each node. */
  serve(share: number, failing: number, revision: number, nodeIds = NODE_IDS): void {
    nodeIds.forEach((nodeId) => {
      const [target, failures, others] = this.#counts.get(nodeId) ?? [0, 0, 0];
      const added = 20 * share;
      this.#counts.set(nodeId, [target + added, failures + added * failing, others + 20 - added]);
      this.#revisions.set(nodeId, revision);
      this.#listeners.forEach((listener) => listener(nodeId));
    });
  }

  list(): NodeCounts[] {
    return [...this.#counts].map(([nodeId, [target, failures, others]]) => ({
      nodeId,
      incarnation: this.incarnations.get(nodeId) ?? 1n,
      rolloutRevision: this.#revisions.get(nodeId) ?? 0,
      evidence: [
        { softwareVersion: 'v2', requests: target, failures },
        { softwareVersion: 'v1', requests: others, failures: 0 },
      ].map(({ softwareVersion, ...counts }) =>
        create(VersionEvidenceSchema, {
          service: 'desk',
          route: 'desk-route',
          softwareVersion,
          requests: BigInt(Math.floor(counts.requests)),
          failures: BigInt(Math.floor(counts.failures)),
          durationCounts: [
            ...Array.from({ length: DURATION_BUCKET }, () => 0),
            Math.floor(counts.requests - counts.failures),
          ],
        }),
      ),
    }));
  }

  onChanged(listener: (nodeId: string) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}

interface Run {
  log: FakeControlLog;
  nodes: FakeNodes;
  controllers: RolloutController[];
  leader: { index: number };
  liveNodeIds: string[];
  clock: { nowMs: number };
}

const createRun = (controllerCount = 1): Run => {
  const run: Run = {
    log: new FakeControlLog(),
    nodes: new FakeNodes(),
    controllers: [],
    leader: { index: 0 },
    liveNodeIds: NODE_IDS,
    clock: { nowMs: START_MS },
  };
  run.log.configuration = createRoutedConfiguration(['desk'], 2_000);
  run.controllers = Array.from(
    { length: controllerCount },
    (_, index) =>
      new RolloutController({
        log: run.log,
        limits: { exposedShare: 0.1, exposedSlack: 50, rollbackMs: 5_000 },
        reports: run.nodes,
        listNodeIds: () => run.liveNodeIds,
        countServers: () => 4,
        isConfirmed: () => true,
        isLeading: () => run.leader.index === index,
        metrics: new MetricsRegistry(),
        readNowMs: () => run.clock.nowMs,
        readWallMs: () => run.clock.nowMs,
      }),
  );
  return run;
};

const observeAll = (run: Run): void =>
  run.controllers.forEach((controller) => controller.observe(run.clock.nowMs, run.clock.nowMs));

/** Runs until a time since the order; nodes follow the committed share. */
const play = async (
  run: Run,
  untilMs: number,
  failing: (nowMs: number) => number,
  reportingIds = NODE_IDS,
): Promise<void> => {
  const share = (run.log.rolloutBook.find(1)?.sharePermille ?? 0) / 1_000;
  const { revision } = run.log.rollouts();
  const { clock, controllers, nodes } = run;
  nodes.serve(share, failing(clock.nowMs - START_MS), revision, reportingIds);
  clock.nowMs += TICK_MS;
  controllers.forEach((controller) => controller.tick(clock.nowMs, clock.nowMs));
  // Lets the proposal end.
  await new Promise(setImmediate);
  observeAll(run);
  if (clock.nowMs - START_MS < untilMs) await play(run, untilMs, failing, reportingIds);
};

const startRollout = async (run: Run): Promise<void> => {
  run.controllers.forEach((controller) => controller.tick(run.clock.nowMs, run.clock.nowMs));
  await run.log.proposeRollout(createOrder({ orderedAtMs: BigInt(run.clock.nowMs) }));
  observeAll(run);
};

const listStages = (run: Run): RolloutStage[] =>
  run.log.proposedRollouts.slice(1).map(({ stage }) => stage);

tap.test('a good version is completed well before its deadline', async (t) => {
  const run = createRun();
  await startRollout(run);
  await play(run, 55_000, () => 0);
  t.match(run.log.rolloutBook.find(1), { stage: RolloutStage.COMPLETED });
  const shares = run.log.proposedRollouts.map(({ sharePermille }) => sharePermille);
  t.strictSame(shares, [0, 40, 80, 300, 1_000, 1_000]);
  t.match(run.log.proposedRollouts.at(-1)?.reason, /in force at all nodes/);
});

// Guards against a version that turns bad only when it has all requests.
tap.test('a version that turns bad is taken back in the canary and after it', async (t) => {
  const early = createRun();
  await startRollout(early);
  await play(early, 30_000, (ageMs) => (ageMs > 15_000 ? 0.6 : 0));
  t.match(early.log.rolloutBook.find(1), { stage: RolloutStage.ROLLED_BACK });
  const promoted = createRun();
  await startRollout(promoted);
  const hasAll = (): boolean => listStages(promoted).includes(RolloutStage.PROMOTING);
  await play(promoted, 58_000, () => (hasAll() ? 0.6 : 0));
  t.equal(listStages(promoted).at(-1), RolloutStage.ROLLED_BACK);
});

// Guards against stopping old servers while a node still sends to them.
tap.test('completion waits for each node that is not lost', async (t) => {
  const run = createRun();
  await startRollout(run);
  await play(run, 40_000, () => 0);
  await play(run, 55_000, () => 0, ['n1', 'n2']);
  t.match(run.log.rolloutBook.find(1), { stage: RolloutStage.PROMOTING });
  run.liveNodeIds = ['n1', 'n2'];
  await play(run, 56_000, () => 0, ['n1', 'n2']);
  t.match(run.log.rolloutBook.find(1), { stage: RolloutStage.COMPLETED });
});

// Guards against a control VM that has just started and takes nodes it does not know yet for lost.
tap.test('nothing is completed while no node is known', async (t) => {
  const run = createRun();
  await startRollout(run);
  await play(run, 40_000, () => 0);
  run.liveNodeIds = [];
  await play(run, 50_000, () => 0);
  t.match(run.log.rolloutBook.find(1), { stage: RolloutStage.PROMOTING });
});

// Guards against a new leader that starts to observe anew, or does not know the age of the order.
tap.test('a new leader goes on with what it has observed', async (t) => {
  const run = createRun(2);
  await startRollout(run);
  await play(run, 30_000, () => 0);
  run.leader.index = 1;
  await play(run, 55_000, () => 0);
  t.match(run.log.rolloutBook.find(1), { stage: RolloutStage.COMPLETED });
  const stages = listStages(run);
  t.equal(stages.length, 5, 'no step was taken twice');
});

// Guards against a good version that misses its deadline because a control VM started late.
tap.test('a control VM that starts later takes the age from the order', async (t) => {
  const run = createRun();
  await run.log.proposeRollout(createOrder({ orderedAtMs: BigInt(run.clock.nowMs - 90_000) }));
  observeAll(run);
  await play(run, 1_000, () => 0);
  t.match(run.log.proposedRollouts.at(-1), {
    stage: RolloutStage.ROLLED_BACK,
    reason: /no verdict in time/,
  });
});
