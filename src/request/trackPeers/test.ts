import tap from 'tap';

import PeerTracker from './index.js';

// Guards against sending a request per candidate into a cut link before the node is avoided.
tap.test('one silence is enough to avoid a node until it answers', async (t) => {
  const peers = new PeerTracker();
  t.equal(peers.recordFailure('n1', 1_000), true);
  t.equal(peers.isUnresponsive('n1'), true);
  t.equal(peers.isUnresponsive('n2'), false);
  peers.recordResponse('n1');
  t.equal(peers.isUnresponsive('n1'), false);
});

// Guards against requests of callers that are spent on finding out whether a cut has healed.
tap.test('a silent node is asked after pauses that double, up to 2 s', async (t) => {
  const peers = new PeerTracker();
  let nowMs = 0;
  const pauses = [300, 600, 1_200, 2_000, 2_000].map((expectedMs) => {
    peers.recordFailure('n1', nowMs);
    const isRight =
      peers.listDueForProbe(nowMs + expectedMs - 1).length === 0 &&
      peers.listDueForProbe(nowMs + expectedMs).join() === 'n1';
    nowMs += expectedMs;
    return isRight;
  });
  t.strictSame(pauses, [true, true, true, true, true]);
});

// Requests that were under way when the link was cut fail one after the other.
tap.test('several failures of one silence count once', async (t) => {
  const peers = new PeerTracker();
  peers.recordFailure('n1', 0);
  t.equal(peers.recordFailure('n1', 100), false);
  t.strictSame(peers.listDueForProbe(300), ['n1']);
});
