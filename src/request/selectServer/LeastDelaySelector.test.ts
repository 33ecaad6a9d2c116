import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import createRandom from '../../../test/requestMesh/createRandom.js';
import {
  NodeRecordSchema,
  ServerSchema,
  ServerState,
} from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import { FailureRateBreaker } from '../breakCircuit/index.js';
import { ServerObservations, formatServerKey } from '../observeServers/index.js';
import { LeastDelaySelector } from './index.js';

import type { ServerEntry } from '../../process/endpoints/types.js';

const NOW_MS = 100_000;
const SLOTS = 6;
/** Id of the node that runs the selector. */
const OWN_NODE_ID = 'beside';

const createEntry = (nodeId: string, dataCentre: string): ServerEntry => {
  const server = create(ServerSchema, {
    serverId: `s-${nodeId}`,
    service: 'desk',
    slots: SLOTS,
    state: ServerState.SERVING,
  });
  return { server, node: create(NodeRecordSchema, { nodeId, dataCentre, servers: [server] }) };
};

/** Creates the selector of a node in data centre a. */
const createSelector = (observations: ServerObservations): LeastDelaySelector =>
  new LeastDelaySelector({
    dataCentre: 'a',
    nodeId: OWN_NODE_ID,
    observations,
    breaker: new FailureRateBreaker(),
  });

interface Reported {
  load: number;
  holdMs: number;
}

/** Counts the selections of each server, given the reported loads; the node is in data centre a. */
const countChoices = (
  servers: Record<string, Reported & { dataCentre: string }>,
  random: () => number,
): Record<string, number> => {
  const observations = new ServerObservations();
  const entries = Object.entries(servers).map(([nodeId, { dataCentre, load, holdMs }]) => {
    const entry = createEntry(nodeId, dataCentre);
    Object.assign(observations.get(formatServerKey(entry), 0), {
      reportedLoad: load,
      reportedHoldMs: holdMs,
      reportedLoadAtMs: NOW_MS,
      sampleCount: 10,
    });
    return entry;
  });
  const selector = createSelector(observations);
  const counts: Record<string, number> = Object.fromEntries(
    Object.keys(servers).map((nodeId) => [nodeId, 0]),
  );
  Array.from({ length: 400 }).forEach(() => {
    const selection = selector.select(entries, { service: 'desk', nowMs: NOW_MS, random });
    const nodeId = selection?.entry.node.nodeId ?? '';
    counts[nodeId] = (counts[nodeId] ?? 0) + 1;
  });
  return counts;
};

// Guards against traffic between data centres when a local server responds as soon.
tap.test('the local data centre is used while it has free slots', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const counts = countChoices(
    {
      own: { dataCentre: 'a', load: 0.5, holdMs: 100 },
      other: { dataCentre: 'b', load: 0.2, holdMs: 100 },
    },
    random,
  );
  t.strictSame(counts, { own: 400, other: 0 });
});

// Guards against a queue in one data centre while another has free slots.
tap.test('an overloaded data centre spills requests to servers with free slots', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const counts = countChoices(
    {
      own: { dataCentre: 'a', load: 1.3, holdMs: 100 },
      other: { dataCentre: 'b', load: 0.4, holdMs: 100 },
    },
    random,
  );
  t.strictSame(counts, { own: 0, other: 400 });
});

// Guards against selecting a slow server because its slots are free.
tap.test('a slow server is avoided although it is less loaded', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const counts = countChoices(
    {
      slow: { dataCentre: 'a', load: 0.1, holdMs: 500 },
      quick: { dataCentre: 'a', load: 0.6, holdMs: 100 },
    },
    random,
  );
  t.strictSame(counts, { slow: 0, quick: 400 });
});

// Guards against herding of all nodes to the same one of several equal servers.
tap.test('equal servers share the requests', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const equal = { dataCentre: 'a', load: 0.5, holdMs: 100 };
  const counts = countChoices({ one: equal, two: equal, three: equal }, random);
  Object.values(counts).forEach((count) => t.ok(count > 80, `${count} of 400`));
});

// Guards against a new server without requests, because its estimated delay is never the lowest.
tap.test('a new server is explored after its warm-up', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const observations = new ServerObservations();
  const known = createEntry('known', 'a');
  const slow = createEntry('slow', 'a');
  const joined = createEntry('joined', 'a');
  const report = { reportedLoad: 0.1, reportedHoldMs: 50, sampleCount: 10 };
  Object.assign(observations.get(formatServerKey(known), 0), report);
  Object.assign(observations.get(formatServerKey(slow), 0), { ...report, reportedHoldMs: 200 });
  const selector = createSelector(observations);
  const isSelectedAt = (nowMs: number): boolean => {
    [known, slow].forEach((entry) => {
      observations.get(formatServerKey(entry), nowMs).reportedLoadAtMs = nowMs;
    });
    const context = { service: 'desk', nowMs, random };
    return selector.select([known, slow, joined], context)?.entry === joined;
  };
  const countSelections = (fromMs: number, toMs: number): number =>
    Array.from({ length: (toMs - fromMs) / 20 }, (_, index) => fromMs + index * 20).filter(
      isSelectedAt,
    ).length;
  t.equal(countSelections(NOW_MS, NOW_MS + 3_000), 0, 'not during the warm-up');
  t.ok(countSelections(NOW_MS + 3_000, NOW_MS + 4_000) > 2, 'soon after the warm-up');
  Object.assign(observations.get(formatServerKey(joined), 0), {
    ...report,
    reportedHoldMs: 100,
    reportedLoadAtMs: NOW_MS + 4_000,
  });
  t.equal(countSelections(NOW_MS + 4_000, NOW_MS + 5_000), 0, 'not after its first report');
});

// Guards against forwarding to a second node when the local server responds as soon.
tap.test('the local server is used while it is about as fast as others', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const others = Array.from({ length: 12 }, (_, index) => [
    `other-${index}`,
    { dataCentre: 'a', load: 0.4, holdMs: 100 },
  ]);
  const free = {
    ...Object.fromEntries(others),
    beside: { dataCentre: 'a', load: 0.5, holdMs: 100 },
  };
  t.equal(countChoices(free, random).beside, 400);
  const full = { ...free, beside: { dataCentre: 'a', load: 1.4, holdMs: 100 } };
  t.equal(countChoices(full, random).beside, 0);
  const slow = { ...free, beside: { dataCentre: 'a', load: 0.5, holdMs: 300 } };
  t.equal(countChoices(slow, random).beside, 0);
});

// Guards against avoiding a server permanently after it was slow for a while.
tap.test('a server that was slow is selected again later', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const observations = new ServerObservations();
  const quick = createEntry('quick', 'a');
  const recovered = createEntry('recovered', 'a');
  const seen = { sampleCount: 10, reportedLoad: 0.2, reportedLoadAtMs: NOW_MS };
  Object.assign(observations.get(formatServerKey(recovered), 0), { ...seen, reportedHoldMs: 900 });
  const selector = createSelector(observations);
  const isSelectedAt = (nowMs: number): boolean => {
    const report = { ...seen, reportedLoad: 0.7, reportedLoadAtMs: nowMs, reportedHoldMs: 100 };
    Object.assign(observations.get(formatServerKey(quick), 0), report);
    const context = { service: 'desk', nowMs, random };
    return selector.select([quick, recovered], context)?.entry === recovered;
  };
  t.equal(isSelectedAt(NOW_MS + 200), false);
  const laterMs = Array.from({ length: 60 }, (_, index) => NOW_MS + index * 500);
  t.ok(laterMs.some(isSelectedAt));
});
