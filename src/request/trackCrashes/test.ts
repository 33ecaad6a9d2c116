import { setTimeout as delay } from 'node:timers/promises';

import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import { NodeRecordSchema, ServerState } from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import { CrashDetector, CrashLedger, TrialOutcome } from './index.js';

import type { NodeRecord } from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import type { LocalServer } from '../../process/localServers/index.js';

const START_MS = 1_000_000;
const RETENTION_MS = 600_000;
const TRIAL_DELAY_MS = 1_000;
const CRASHING = [1n, 2n];
const OTHER = [3n, 4n];

/** A node with its ledger and the record that it publishes. */
class TestNode {
  readonly ledger = new CrashLedger();

  record: NodeRecord;

  constructor(nodeId: string, incarnation = 1n) {
    const servers = [{ serverId: `${nodeId}-server`, state: ServerState.SERVING }];
    this.record = create(NodeRecordSchema, { nodeId, incarnation, servers });
  }

  crash(fingerprints: bigint[], nowMs = START_MS): void {
    this.ledger.recordCrash(fingerprints, this.record, nowMs);
    this.publish();
  }

  publish(): void {
    const report = this.ledger.takeReport(this.record);
    if (report) this.record = create(NodeRecordSchema, { ...this.record, ...report });
  }

  receive(nodes: TestNode[], nowMs = START_MS): void {
    const records = nodes.map(({ record }) => record);
    this.ledger.merge(records, nowMs);
    this.publish();
  }
}

const createNodes = () => ['n1', 'n2', 'n3'].map((nodeId) => new TestNode(nodeId));

// Guards against counts that each node keeps for itself.
tap.test('crashes beside different nodes add up on every node', async (t) => {
  const nodes = createNodes();
  const entry = new TestNode('entry');
  nodes.slice(0, 2).forEach((node) => node.crash(CRASHING));
  entry.receive(nodes);
  t.equal(entry.ledger.isBlocked(CRASHING), false, 'two crashes');
  nodes[2]?.crash(CRASHING);
  entry.receive(nodes);
  entry.receive(nodes);
  t.equal(entry.ledger.isBlocked(CRASHING), true, 'three crashes');
  t.equal(entry.ledger.isBlocked([1n, 9n]), true, 'another caller of the same request');
  t.equal(entry.ledger.isBlocked(OTHER), false);
});

// Guards against refusing a request that was only in progress when others crashed the server.
tap.test('a request that a server has answered is not refused on any node', async (t) => {
  const nodes = createNodes();
  const entry = new TestNode('entry');
  nodes.forEach((node) => node.crash([...CRASHING, ...OTHER]));
  nodes[0]?.receive(nodes);
  nodes[0]?.ledger.recordAnswer(OTHER);
  nodes[0]?.publish();
  entry.receive(nodes);
  t.equal(entry.ledger.isBlocked(OTHER), false);
  t.equal(entry.ledger.isBlocked(CRASHING), true);
});

// Guards against crashes that follow each other faster than nodes learn of the first one.
tap.test('an answer before the first crash counts too', async (t) => {
  const nodes = createNodes();
  nodes[1]?.ledger.recordAnswer(OTHER);
  nodes.forEach((node) => node.crash(OTHER));
  nodes[1]?.receive(nodes);
  nodes[0]?.receive(nodes);
  t.equal(nodes[0]?.ledger.isBlocked(OTHER), false);
});

// Guards against a request that is tried again because a node that reported it has restarted.
tap.test('the crashes of a restarted or lost node stay counted', async (t) => {
  const nodes = createNodes();
  const entry = new TestNode('entry');
  nodes.forEach((node) => node.crash(CRASHING));
  entry.receive(nodes);
  entry.receive([new TestNode('n1', 2n)]);
  t.equal(entry.ledger.isBlocked(CRASHING), true);
});

// Guards against refusing for ten minutes a request that was only in progress during the crashes.
tap.test('a blocked request is tried once, at one node, after the last crash', async (t) => {
  const nodes = createNodes();
  nodes.forEach((node) => node.crash(CRASHING));
  nodes.forEach((node) => node.receive(nodes));
  const records = nodes.map(({ record }) => record);
  const chosen = nodes.map(({ ledger }) =>
    ledger.findTrialNode(CRASHING, records, START_MS + TRIAL_DELAY_MS),
  );
  t.equal(new Set(chosen).size, 1, 'all nodes choose the same one');
  t.equal(nodes[0]?.ledger.findTrialNode(CRASHING, records, START_MS + 10), undefined, 'too early');
  const node = nodes.find(({ record }) => record.nodeId === chosen[0]);
  if (!node) throw new Error('no node');
  const dueAtMs = START_MS + TRIAL_DELAY_MS;
  t.equal(node.ledger.beginTrial(CRASHING, dueAtMs), true);
  node.ledger.endTrial(CRASHING, TrialOutcome.NotRun, dueAtMs);
  t.equal(node.ledger.beginTrial(CRASHING, dueAtMs), true, 'it did not run');
  t.equal(node.ledger.beginTrial(OTHER, dueAtMs), false, 'one at a time');
  node.ledger.endTrial(CRASHING, TrialOutcome.Conclusive, dueAtMs);
  t.equal(node.ledger.beginTrial(CRASHING, START_MS + RETENTION_MS), false, 'only once');
});

// Guards against refusing an innocent request for ten minutes because the caller of its trial has left.
tap.test('a trial that showed nothing is repeated once, after a delay', async (t) => {
  const [node] = createNodes();
  if (!node) throw new Error('no node');
  [0, 1, 2].forEach(() => node.crash(CRASHING));
  const dueAtMs = START_MS + TRIAL_DELAY_MS;
  t.equal(node.ledger.beginTrial(CRASHING, dueAtMs), true);
  node.ledger.endTrial(CRASHING, TrialOutcome.Inconclusive, dueAtMs);
  t.equal(node.ledger.beginTrial(CRASHING, dueAtMs + TRIAL_DELAY_MS - 1), false, 'too early');
  t.equal(node.ledger.beginTrial(CRASHING, dueAtMs + TRIAL_DELAY_MS), true);
  node.ledger.endTrial(CRASHING, TrialOutcome.Inconclusive, dueAtMs + TRIAL_DELAY_MS);
  t.equal(node.ledger.beginTrial(CRASHING, START_MS + RETENTION_MS), false, 'not a third time');
});

// Guards against a refusal for ever, and against state that grows without bound.
tap.test('a suspect is forgotten ten minutes after its last crash', async (t) => {
  const [node] = createNodes();
  if (!node) throw new Error('no node');
  [0, 1, 2].forEach((index) => node.crash(CRASHING, START_MS + index));
  node.ledger.expire(START_MS + RETENTION_MS);
  t.equal(node.ledger.isBlocked(CRASHING), true);
  node.ledger.expire(START_MS + RETENTION_MS + 2);
  t.equal(node.ledger.isEmpty, true);
});

tap.test('the record lists a bounded number of suspects, the newest first', async (t) => {
  const [node] = createNodes();
  if (!node) throw new Error('no node');
  Array.from({ length: 300 }).forEach((_, index) => node.crash([BigInt(index)]));
  t.equal(node.record.crashSuspects.length, 128);
  t.equal(node.record.crashSuspects[0]?.fingerprint, 299n);
});

// Guards against taking a lost connection, or a spoiled answer, for the end of a server.
tap.test('only a server that accepts no connection any more has ended', async (t) => {
  const crashes: string[][] = [];
  let isReachable = true;
  const detector = new CrashDetector({
    isReachable: async () => isReachable,
    onCrash: (lost) => crashes.push(lost.map(({ requestId }) => requestId)),
  });
  const local = { server: { serverId: 'desk-1', address: '127.0.0.1:1' } } as LocalServer;
  detector.recordLoss(local, { requestId: 'a', fingerprints: CRASHING });
  await delay(150);
  t.strictSame(crashes, []);
  isReachable = false;
  detector.recordLoss(local, { requestId: 'b', fingerprints: CRASHING });
  detector.recordLoss(local, { requestId: 'c', fingerprints: OTHER });
  await delay(150);
  t.strictSame(crashes, [['b', 'c']], 'one crash with all requests that were lost');
});
