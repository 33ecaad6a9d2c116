import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import { simulateSelection } from '../../../bench/selectServers/_lib/simulateSelection.js';
import createRandom from '../../../test/requestMesh/createRandom.js';
import {
  NodeRecordSchema,
  ServerSchema,
  ServerState,
} from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import { FailureRateBreaker } from '../breakCircuit/index.js';
import { ServerObservations, formatServerKey } from '../observeServers/index.js';
import { RoundRobinSelector, SelectionReason, TwoChoicesSelector } from './index.js';

import type { ServerEntry } from '../../process/endpoints/types.js';

const NOW_MS = 1_000_000;
const SELECTIONS = 2_000;

const createEntry = (nodeId: string, dataCentre: string, servingSinceMs = 0): ServerEntry => ({
  server: create(ServerSchema, {
    serverId: 's',
    service: 'desk',
    slots: 6,
    state: ServerState.SERVING,
    servingSinceMs: BigInt(servingSinceMs),
  }),
  node: create(NodeRecordSchema, { nodeId, dataCentre }),
});

const setUp = (random: () => number) => {
  const observations = new ServerObservations();
  const breaker = new FailureRateBreaker();
  const selector = new TwoChoicesSelector({ dataCentre: 'a', observations, breaker });
  const selectRepeatedly = (entries: ServerEntry[]) => {
    const counts = new Map<string, number>();
    const reasons = new Set<SelectionReason>();
    Array.from({ length: SELECTIONS }).forEach(() => {
      const selection = selector.select(entries, { service: 'desk', nowMs: NOW_MS, random });
      const nodeId = selection?.entry.node.nodeId ?? '';
      counts.set(nodeId, (counts.get(nodeId) ?? 0) + 1);
      if (selection) reasons.add(selection.reason);
    });
    return { shareOf: (nodeId: string) => (counts.get(nodeId) ?? 0) / SELECTIONS, reasons };
  };
  const reportLoad = (entry: ServerEntry, load: number): void => {
    const observation = observations.get(formatServerKey(entry), NOW_MS);
    observation.reportedLoad = load;
    observation.reportedLoadAtMs = NOW_MS;
  };
  const failRepeatedly = (entry: ServerEntry): void =>
    Array.from({ length: 6 }).forEach(() => breaker.addFailure(formatServerKey(entry), NOW_MS));
  return { selectRepeatedly, reportLoad, failRepeatedly };
};

tap.test('servers of different speed are loaded in proportion to it', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const servers = Array.from({ length: 10 }, (_, index) => ({ slowness: 1 + index / 3 }));
  const options = { servers, load: 0.7, requests: 20_000, random };
  const rotated = simulateSelection({ ...options, createSelector: () => new RoundRobinSelector() });
  const chosen = simulateSelection({
    ...options,
    createSelector: (parts) => new TwoChoicesSelector({ ...parts, dataCentre: 'a' }),
  });
  t.comment(JSON.stringify({ rotated, chosen }));
  t.ok(chosen.p99Ms < rotated.p99Ms / 2, 'the slow servers are not overloaded');
  t.ok((chosen.shares[0] ?? 0) > 2 * (chosen.shares[9] ?? 1), 'the fast server gets more requests');
});

tap.test('a server that fails quickly does not attract requests', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const servers = Array.from({ length: 10 }, (_, index) => ({
    slowness: 1,
    failureShare: index === 0 ? 1 : 0,
  }));
  const result = simulateSelection({
    servers,
    load: 0.5,
    requests: 20_000,
    random,
    createSelector: (parts) => new TwoChoicesSelector({ ...parts, dataCentre: 'a' }),
  });
  t.ok(result.failedShare < 0.02, `${result.failedShare} failed`);
});

tap.test('requests stay in the local data centre until it is full, then spill', async (t) => {
  const { selectRepeatedly, reportLoad } = setUp(createRandom((line) => t.comment(line)));
  const local = [createEntry('a1', 'a'), createEntry('a2', 'a')];
  const remote = [createEntry('b1', 'b'), createEntry('b2', 'b')];
  const before = selectRepeatedly([...local, ...remote]);
  t.equal(before.shareOf('a1') + before.shareOf('a2'), 1);
  local.forEach((entry) => reportLoad(entry, 1));
  const after = selectRepeatedly([...local, ...remote]);
  t.equal(after.shareOf('b1') + after.shareOf('b2'), 1);
  t.ok(after.reasons.has(SelectionReason.Spill));
  remote.forEach((entry) => reportLoad(entry, 1));
  const full = selectRepeatedly([...local, ...remote]);
  t.equal(full.shareOf('a1') + full.shareOf('a2'), 1, 'no spill to a full data centre');
  t.strictSame(selectRepeatedly(remote).reasons, new Set([SelectionReason.RemoteOnly]));
});

tap.test('a server that has just started gets few requests', async (t) => {
  const { selectRepeatedly } = setUp(createRandom((line) => t.comment(line)));
  const entries = [createEntry('old', 'a'), createEntry('new', 'a', NOW_MS)];
  const { shareOf } = selectRepeatedly(entries);
  t.ok(shareOf('new') < 0.1, `${shareOf('new')}`);
});

tap.test('a failing server is ejected, but never more than half of them', async (t) => {
  const { selectRepeatedly, failRepeatedly } = setUp(createRandom((line) => t.comment(line)));
  const entries = ['n1', 'n2', 'n3', 'n4'].map((nodeId) => createEntry(nodeId, 'a'));
  entries.slice(0, 2).forEach(failRepeatedly);
  const half = selectRepeatedly(entries);
  t.equal(half.shareOf('n1') + half.shareOf('n2'), 0);
  entries.slice(2, 3).forEach(failRepeatedly);
  const panic = selectRepeatedly(entries);
  t.strictSame(panic.reasons, new Set([SelectionReason.Panic]));
  t.ok(panic.shareOf('n1') > 0.1, 'all live servers are used');
});

tap.test('without candidates no server is selected', async (t) => {
  const { selectRepeatedly } = setUp(createRandom((line) => t.comment(line)));
  t.equal(selectRepeatedly([]).reasons.size, 0);
});
