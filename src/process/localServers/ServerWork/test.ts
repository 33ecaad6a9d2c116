import tap from 'tap';

import createRandom from '../../../../test/requestMesh/createRandom.js';
import RouteCosts from '../RouteCosts/index.js';
import ServerWork from './index.js';

import type { SlotDemand } from '../AdmissionPolicy/index.js';

const MEAN_MS = 100;

const createDemand = (routeName = 'board'): SlotDemand => ({
  deadlineMs: 10_000,
  isRetry: false,
  isSlow: false,
  routeName,
});

/** Creates the work of a server after it has answered requests that take it so long. */
const createWork = (heldMs: () => number): ServerWork => {
  const costs = new RouteCosts();
  Array.from({ length: 100 }).forEach(() => costs.addAnswer('board', MEAN_MS));
  const work = new ServerWork(costs);
  Array.from({ length: 100 }).forEach(() => {
    const demand = createDemand();
    work.start(demand, 0);
    work.end(demand, heldMs(), true);
  });
  return work;
};

// Guards against a slow server that counts as quick because its requests are taken for costly ones.
tap.test('the pace of a server is learned apart from the cost of its requests', async (t) => {
  const random = createRandom((line) => t.comment(line));
  [0.5, 1, 1.7].forEach((pace) => {
    const work = createWork(() => MEAN_MS * pace * (0.5 + random()));
    t.ok(Math.abs(work.estimatePace(0) / pace - 1) < 0.25, `${work.estimatePace(0)} for ${pace}`);
  });
});

// Guards against a server that has just turned slow and answers nothing, so that nothing is learned.
tap.test('requests in progress beyond their mean count before they end', async (t) => {
  const work = createWork(() => MEAN_MS);
  Array.from({ length: 8 }).forEach(() => work.start(createDemand(), 0));
  t.ok(work.estimatePace(MEAN_MS / 2) < 1.1);
  t.ok(work.estimatePace(MEAN_MS * 10) > 2, `${work.estimatePace(MEAN_MS * 10)}`);
});

// Guards against waits from a mean hold time, which takes ten short requests for ten long ones.
tap.test(
  'the wait is the time until a slot is free and the cost of what waits before',
  async (t) => {
    const work = createWork(() => MEAN_MS);
    t.equal(work.estimateWaitMs([], 4, 0), 0, 'with idle slots');
    Array.from({ length: 4 }).forEach(() => work.start(createDemand(), 0));
    const waitMs = work.estimateWaitMs([], 4, 0);
    t.ok(waitMs > 15 && waitMs < 40, `${waitMs} of four requests of 100 ms`);
    const behindMs = work.estimateWaitMs(Array.from({ length: 8 }, createDemand), 4, 0);
    t.ok(behindMs - waitMs > 180 && behindMs - waitMs < 220, `${behindMs} behind eight of 100 ms`);
  },
);
